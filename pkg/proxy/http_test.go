package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// rawUpstream starts a TCP server that runs script on each connection, and makes it the
// upstream of n.
func rawUpstream(t *testing.T, n *testNode, script func(conn net.Conn, r *bufio.Reader)) {
	l := listen(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	n.source.mu.Lock()
	n.source.up.Address = l.Addr().String()
	n.source.mu.Unlock()
}

// readRequest reads a request with its body.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

// Guards against upstream responses that are passed on truncated, altered or as the
// response to another request. Status 0 means that the caller must see an aborted
// response.
func TestUpstreamResponses(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, tc := range []struct {
		name, method, raw string
		status            int // 0: an aborted response
		body              string
		refused           reason.Refusal
		ran               reason.Ran
	}{
		{name: "interim responses", method: "GET", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			status: 200, body: "ok", ran: reason.RanYes},
		{name: "head", method: "HEAD", raw: "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n", status: 200, ran: reason.RanYes},
		{name: "no content", method: "DELETE", raw: "HTTP/1.1 204 No Content\r\n\r\n", status: 204, ran: reason.RanYes},
		{name: "not modified", method: "GET", raw: "HTTP/1.1 304 Not Modified\r\nEtag: \"a\"\r\n\r\n", status: 304, ran: reason.RanYes},
		{name: "chunked", method: "GET", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", status: 200, body: "abc", ran: reason.RanYes},
		{name: "long", method: "GET", raw: "HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n" + long, status: 200, body: long, ran: reason.RanYes},
		{name: "truncated body", method: "GET", raw: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
			status: 502, refused: reason.UpstreamFailed, ran: reason.RanYes},
		{name: "truncated body of a post", method: "POST", raw: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
			status: 502, refused: reason.UpstreamFailed, ran: reason.RanYes},
		{name: "truncated chunked post", method: "POST", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			status: 502, refused: reason.UpstreamFailed, ran: reason.RanYes},
		{name: "truncated chunked get", method: "GET", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{name: "truncated long body", method: "GET", raw: "HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n" + long[:90<<10]},
		{name: "no length", method: "POST", raw: "HTTP/1.1 200 OK\r\n\r\nabc", status: 502, refused: reason.UpstreamFailed, ran: reason.RanUnknown},
		{name: "upgrade", method: "POST", raw: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
			status: 502, refused: reason.UpstreamFailed, ran: reason.RanUnknown},
		{name: "headers too large", method: "POST", raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + long + "\r\n\r\n",
			status: 502, refused: reason.UpstreamFailed, ran: reason.RanUnknown},
		{name: "not HTTP", method: "POST", raw: "hello\r\n\r\n", status: 502, refused: reason.UpstreamFailed, ran: reason.RanUnknown},
		{name: "nothing", method: "POST", raw: "", status: 502, refused: reason.UpstreamFailed, ran: reason.RanUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMesh(t, defaultService(), http.HandlerFunc(echo))
			rawUpstream(t, m.nodes[0], func(conn net.Conn, r *bufio.Reader) {
				if req, _ := readRequest(r); req != nil {
					_, _ = io.WriteString(conn, tc.raw)
				}
			})
			got := m.do(t.Context(), newClient(t), tc.method, "/x", strings.NewReader(""), nil)
			if tc.status == 0 {
				if got.err == nil {
					t.Fatalf("a truncated response arrived as complete: status %d, %d bytes", got.status, len(got.body))
				}
				return
			}
			if got.err != nil || got.status != tc.status {
				t.Fatalf("status %d, error %v, want status %d", got.status, got.err, tc.status)
			}
			if tc.refused == "" && got.body != tc.body {
				t.Errorf("body of %d bytes, want %d", len(got.body), len(tc.body))
			}
			if got.header.Get(HeaderRefused) != string(tc.refused) || got.header.Get(HeaderRan) != string(tc.ran) {
				t.Errorf("refused %q ran %q, want %q %q", got.header.Get(HeaderRefused), got.header.Get(HeaderRan), tc.refused, tc.ran)
			}
			if tc.name == "head" && got.header.Get("Content-Length") != "1234" {
				t.Errorf("HEAD lost its Content-Length: %v", got.header)
			}
		})
	}
}

// Guards against forwarding requests that the mesh doesn't support, and against mesh
// headers taken from a caller or an upstream that may not set them.
func TestRequestChecks(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRan, "no")
		w.Header().Set(HeaderRefused, "draining")
		fmt.Fprintf(w, "depth=%s target=%s keep=%s te=%s", r.Header.Get(HeaderDepth), r.Header.Get(HeaderTarget), r.Header.Get("X-Keep"), r.Header.Get("X-Drop"))
	}))
	m.callerServer.opts.MaxBodyBytes = 200 << 10
	for _, tc := range []struct {
		name   string
		header http.Header
		body   string
		status int
		want   string
	}{
		{"plain", nil, "", 200, "depth=1 target= keep= te="},
		{"own headers", http.Header{HeaderTarget: {"x/1"}, HeaderCallID: {"1"}, HeaderDepth: {"14"}, "X-Keep": {"k"}}, "", 200, "depth=15 target= keep=k te="},
		{"named hop header", http.Header{"Connection": {"X-Drop"}, "X-Drop": {"d"}}, "", 200, "depth=1 target= keep= te="},
		{"upgrade", http.Header{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}}, "", 501, string(reason.BadRequest)},
		{"depth 33", http.Header{HeaderDepth: {"32"}}, "", 508, string(reason.DepthExceeded)},
		{"bad depth", http.Header{HeaderDepth: {"-1"}}, "", 400, string(reason.BadRequest)},
		{"bad deadline", http.Header{HeaderDeadline: {"soon"}}, "", 400, string(reason.BadRequest)},
		{"large body", nil, strings.Repeat("x", 300<<10), 413, string(reason.BadRequest)},
		{"large headers", http.Header{"X-Keep": {strings.Repeat("k", 60<<10)}}, "", 200, "depth=1 target= keep=" + strings.Repeat("k", 60<<10) + " te="},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := m.do(t.Context(), newClient(t), "POST", "/x", strings.NewReader(tc.body), tc.header)
			if got.err != nil || got.status != tc.status {
				t.Fatalf("status %d, error %v, want status %d: %s", got.status, got.err, tc.status, got.body)
			}
			if got.status == 200 && (got.body != tc.want || got.header.Get(HeaderRan) != "yes" || got.header.Get(HeaderRefused) != "") {
				t.Errorf("body %q, headers %v, want %q", got.body, got.header, tc.want)
			}
			if got.status != 200 && (got.header.Get(HeaderRefused) != tc.want || got.header.Get(HeaderRan) != "no") {
				t.Errorf("refused %q ran %q, want %q and no", got.header.Get(HeaderRefused), got.header.Get(HeaderRan), tc.want)
			}
		})
	}
}

// Guards against trailers that are not forwarded, in either direction.
func TestTrailers(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", "sum of "+r.Trailer.Get("X-Req"))
	}))
	for _, path := range []string{"/x", "/free/x"} {
		req, _ := http.NewRequest("POST", m.url+path, io.MultiReader(strings.NewReader("abc")))
		req.Trailer = http.Header{"X-Req": {"r"}}
		resp, err := newClient(t).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(body) != "abc" || resp.Trailer.Get("X-Sum") != "sum of r" {
			t.Errorf("%s: body %q, trailer %v, error %v", path, body, resp.Trailer, err)
		}
	}
}

// Guards against reuse of a connection whose upstream responded before it had read the
// body: the rest of that body would be taken for the next request.
func TestEarlyResponse(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		echo(w, r)
	}))
	client := newClient(t)
	for i := range 20 {
		got := m.do(t.Context(), client, "POST", "/early", io.MultiReader(strings.NewReader(strings.Repeat("x", 8<<20))), nil)
		// The caller may see an error while it sends, but never another response.
		if got.err == nil && got.status != http.StatusRequestEntityTooLarge {
			t.Fatalf("early response: status %d", got.status)
		}
		want := fmt.Sprintf("POST /p %d", i)
		if got := m.do(t.Context(), client, "POST", "/p", strings.NewReader(fmt.Sprint(i)), nil); got.err != nil || got.body != want {
			t.Fatalf("after an early response: body %q, error %v, want %q", got.body, got.err, want)
		}
	}
}

// Guards against a cancellation or a deadline that doesn't end the request at the
// upstream, and against a missing or too long remaining time in its headers.
func TestCancellationAndDeadlineReachUpstream(t *testing.T) {
	for _, tc := range []struct {
		name, method string
		cancel       bool
	}{{"repeatable canceled", "GET", true}, {"non-repeatable canceled", "POST", true}, {"repeatable deadline", "GET", false}, {"non-repeatable deadline", "POST", false}} {
		t.Run(tc.name, func(t *testing.T) {
			ended := make(chan time.Duration, 16)
			service := defaultService()
			service.TimeoutMS, service.SlowMS = 400, 100
			if tc.cancel {
				service.TimeoutMS = 20000
			}
			service.AttemptTimeoutMS = service.TimeoutMS
			m := newMesh(t, service, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				begun := time.Now()
				if left, err := parseTimeout(r.Header); err != nil || left > time.Duration(service.TimeoutMS)*time.Millisecond {
					t.Errorf("remaining time %v, error %v", left, err)
				}
				<-r.Context().Done()
				ended <- time.Since(begun)
			}))
			ctx, cancel := context.WithCancel(t.Context())
			if tc.cancel {
				time.AfterFunc(200*time.Millisecond, cancel)
			}
			defer cancel()
			got := m.do(ctx, newClient(t), tc.method, "/x", strings.NewReader(""), nil)
			if !tc.cancel && (got.status != http.StatusGatewayTimeout || got.header.Get(HeaderRan) != string(reason.RanUnknown)) {
				t.Errorf("status %d, headers %v", got.status, got.header)
			}
			select {
			case took := <-ended:
				if took > 1500*time.Millisecond {
					t.Errorf("the upstream noticed after %v", took)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the request at the upstream was not canceled within 5 s")
			}
		})
	}
}
