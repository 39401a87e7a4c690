package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against a request that is replayed on another connection after its bytes were
// sent, as net/http's Transport does for requests with an Idempotency-Key. Also guards
// against sending non-repeatable requests over upstream connections that were idle for
// longer than maxIdleNonRepeatable.
func TestProofNoReplay(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	var requests, conns atomic.Int64
	rawUpstream(t, m.nodes[0], func(conn net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			if requests.Add(1); req.URL.Path == "/lost" {
				return // closes without a response
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newClient(t)
	send := func(method, path string) result {
		return m.do(t.Context(), client, method, path, nil, http.Header{"Idempotency-Key": {"k"}})
	}
	if got := send("POST", "/"); got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	if got := send("POST", "/lost"); got.status != 502 || got.header.Get(HeaderRan) != string(reason.RanUnknown) || requests.Load() != 2 {
		t.Errorf("a request whose connection closed: status %d, ran %q, %d requests, want 2", got.status, got.header.Get(HeaderRan), requests.Load())
	}
	if send("POST", "/"); conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
	time.Sleep(maxIdleNonRepeatable + 50*time.Millisecond)
	if send("GET", "/"); conns.Load() != 2 {
		t.Errorf("a repeatable request opened a connection")
	}
	time.Sleep(maxIdleNonRepeatable + 50*time.Millisecond)
	if send("POST", "/"); conns.Load() != 3 {
		t.Errorf("a non-repeatable request used a connection idle for over %v", maxIdleNonRepeatable)
	}
}

// Guards against request smuggling: when a call is refused or answered before its body was
// read, the rest of the body must not be parsed as the next request.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	var smuggled atomic.Int64
	m := newMesh(t, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/smuggled" {
			smuggled.Add(1)
		}
		_ = http.NewResponseController(w).EnableFullDuplex() // responds without reading the body
		w.WriteHeader(http.StatusConflict)
	}))
	hidden := "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, draining := range []bool{false, true} {
		m.nodes[0].peer.SetDraining(draining)
		for _, framing := range []string{"Content-Length: 400000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n61a80\r\n"} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: x\r\n"+framing)
				for range 10 {
					_, _ = io.WriteString(conn, strings.Repeat(hidden, 20))
					time.Sleep(5 * time.Millisecond)
				}
			}()
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			text, _ := io.ReadAll(conn)
			conn.Close()
			if n := strings.Count(string(text), "HTTP/1.1 "); n != 1 {
				t.Errorf("draining %v, %.20q: %d responses, want 1: %.300q", draining, framing, n, text)
			}
		}
	}
	if smuggled.Load() != 0 {
		t.Errorf("%d requests were taken from a body", smuggled.Load())
	}
}

// Guards against a streamed body that exceeds the limit, but is truncated and passed to the
// upstream as complete.
func TestStreamedBodyOverLimit(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	m.callerServer.opts.MaxBodyBytes = 200 << 10
	got := m.do(t.Context(), newClient(t), "POST", "/x", io.LimitReader(&pattern{}, 300<<10), nil)
	if got.err == nil && (got.status != http.StatusRequestEntityTooLarge || got.header.Get(HeaderRefused) != string(reason.BadRequest)) {
		t.Errorf("status %d, headers %v", got.status, got.header)
	}
}
