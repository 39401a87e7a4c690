package proxy

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// reuseTest is a pool whose server runs a script after each response.
type reuseTest struct {
	t       *testing.T
	metrics *Metrics
	pools   *pools
	pool    *pool
}

// newReuseTest starts a server, with TLS if secure is set, that responds to each request with
// its path. It calls script with the response to write it.
func newReuseTest(t *testing.T, secure bool, script func(conn net.Conn, response string)) *reuseTest {
	l := listen(t)
	kind := kindUpstream
	var server, client *tls.Config
	if secure {
		kind = kindPeer
		server, client = meshTLS(t)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if secure {
				conn = tls.Server(&corkedConn{Conn: conn}, server)
			}
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					req, _ := readRequest(r)
					if req == nil {
						return
					}
					body := req.URL.Path
					script(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
				}
			}()
		}
	}()
	m := NewMetrics(nil)
	p := newPools(kind, client, m)
	t.Cleanup(p.close)
	return &reuseTest{t, m, p, p.of(l.Addr().String())}
}

// send sends one request over a connection of the pool and fails the test unless it gets its
// own response.
func (r *reuseTest) send(path string) {
	r.t.Helper()
	got, err := r.try(path)
	if err != nil {
		r.t.Fatal(err)
	}
	if string(got.body) != path {
		r.t.Errorf("request %s got the response to %s", path, got.body)
	}
}

// try sends one request over a connection of the pool.
func (r *reuseTest) try(path string) (*response, error) {
	conn, err := r.pool.get(r.t.Context(), idleTimeout)
	if err != nil {
		return nil, err
	}
	req := &http.Request{Method: "GET", URL: &url.URL{Path: path}, Host: "x", Header: http.Header{}}
	x, err := start(r.t.Context(), r.pool, conn, exchangeRequest{req: req})
	if err != nil {
		return nil, err
	}
	return readResponse(x, true)
}

// state returns the number of idle connections and whether their reuse is forbidden.
func (r *reuseTest) state() (idle int, forbidden bool) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return len(r.pool.idle), r.pool.reuse.forbidden()
}

func (r *reuseTest) opened() float64 {
	return testutil.ToFloat64(r.metrics.opened.WithLabelValues(r.pool.kind))
}

func (r *reuseTest) unsolicited(found string) float64 {
	return testutil.ToFloat64(r.metrics.unsolicited.WithLabelValues(r.pool.kind, found))
}

// noticeTimeout is the longest time to wait for what the server sends or closes.
const noticeTimeout = 3 * time.Second

// sweepUntilFound sweeps until the given number of copies was found on idle connections, and
// returns the time of the last sweep.
func (r *reuseTest) sweepUntilFound(copies float64) time.Time {
	end := time.Now().Add(noticeTimeout)
	for {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		r.pools.sweep(now)
		if r.unsolicited(foundIdle) >= copies || now.After(end) {
			return now
		}
	}
}

// awaitClose waits until the server has closed the idle connection.
func (r *reuseTest) awaitClose() {
	for end := time.Now().Add(noticeTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.pool.mu.Lock()
		quiet := len(r.pool.idle) > 0 && r.pool.idle[0].isQuiet()
		r.pool.mu.Unlock()
		if !quiet {
			return
		}
	}
}

// writeTwice sends a response and its copy at once, with TLS as two records.
func writeTwice(conn net.Conn, response string) {
	if secured, ok := conn.(*tls.Conn); ok {
		corked := secured.NetConn().(*corkedConn)
		corked.corked = true
		defer corked.uncork()
		_, _ = io.WriteString(conn, response)
		_, _ = io.WriteString(conn, response)
		return
	}
	_, _ = io.WriteString(conn, response+response)
}

// Guards against a copy that arrives with its response, is still in memory, and is taken for
// the next response. TLS may have read its record, so that the socket no longer shows it.
func TestCopyReadWithResponse(t *testing.T) {
	for _, secure := range []bool{false, true} {
		r := newReuseTest(t, secure, writeTwice)
		for i := range 5 {
			r.send(fmt.Sprintf("/%d", i))
		}
		if r.opened() != 5 {
			t.Errorf("TLS %v: %v connections for 5 requests, want 5", secure, r.opened())
		}
		if r.unsolicited(foundIdle)+r.unsolicited(foundAfterResponse) == 0 {
			t.Errorf("TLS %v: no copy was counted", secure)
		}
	}
}

// Guards against copies that are found only when their connection is used again, and against
// a pool that loses what it knows of the server or never reuses its connections again.
func TestIdleConnectionsAreWatched(t *testing.T) {
	for _, secure := range []bool{false, true} {
		r := newReuseTest(t, secure, func(conn net.Conn, response string) {
			_, _ = io.WriteString(conn, response)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, response)
		})
		r.send("/1")
		r.sweepUntilFound(1)
		if r.unsolicited(foundIdle) != 1 || r.pools.of(r.pool.addr) != r.pool {
			t.Fatalf("TLS %v: %v copies found, want 1, in the same pool", secure, r.unsolicited(foundIdle))
		}
		for i := range maxWatchedPerAddress + 2 {
			r.send(fmt.Sprintf("/during-%d", i))
		}
		if idle, _ := r.state(); idle != maxWatchedPerAddress {
			t.Errorf("TLS %v: %d connections are watched, want %d", secure, idle, maxWatchedPerAddress)
		}
		last := r.sweepUntilFound(1 + maxWatchedPerAddress)
		if got := r.unsolicited(foundIdle); got != 1+maxWatchedPerAddress {
			t.Errorf("TLS %v: %v copies found, want %d", secure, got, 1+maxWatchedPerAddress)
		}
		r.pools.sweep(last.Add(noReuseTime - time.Second))
		if _, forbidden := r.state(); !forbidden {
			t.Errorf("TLS %v: connections are reused after less than %v", secure, noReuseTime)
		}
		r.pools.sweep(last.Add(noReuseTime + time.Second))
		r.send("/after")
		if r.pool.takeIdle(idleTimeout) == nil {
			t.Errorf("TLS %v: connections are not reused after %v", secure, noReuseTime)
		}
	}
}

// Guards against a closed idle connection that counts as a copy. The end of TLS shows as
// bytes on the socket.
func TestClosedIdleConnectionIsNoCopy(t *testing.T) {
	for _, secure := range []bool{false, true} {
		r := newReuseTest(t, secure, func(conn net.Conn, response string) {
			_, _ = io.WriteString(conn, response)
			time.Sleep(20 * time.Millisecond)
			conn.Close()
		})
		for i := range 4 {
			r.send(fmt.Sprintf("/%d", i))
			r.awaitClose()
			if i%2 == 1 {
				r.pools.sweep(time.Now())
			}
		}
		if _, forbidden := r.state(); r.opened() != 4 || r.unsolicited(foundIdle) != 0 || forbidden {
			t.Errorf("TLS %v: %v connections, %v copies, want 4 and none", secure, r.opened(), r.unsolicited(foundIdle))
		}
	}
}

// Guards against connections that are reused after another response began within one, and against a
// response that is whole, looks like the beginning of another one at its end, and costs a connection.
func TestCutResponseEndsReuse(t *testing.T) {
	for _, secure := range []bool{false, true} {
		r := newReuseTest(t, secure, func(conn net.Conn, response string) {
			if strings.HasSuffix(response, "/cut") {
				response = response[:len(response)-1] + response
			}
			_, _ = io.WriteString(conn, response)
		})
		for _, path := range []string{"/0", "/HTTP/1.1", "/HTTP/1.1 200", "/3"} {
			r.send(path)
		}
		if r.opened() != 1 {
			t.Errorf("TLS %v: %v connections before the cut response, want 1", secure, r.opened())
		}
		if _, err := r.try("/cut"); !isInterruption(err) {
			t.Errorf("TLS %v: the cut response ends with %v", secure, err)
		}
		if _, forbidden := r.state(); r.unsolicited(foundWithinResponse) != 1 || !forbidden {
			t.Errorf("TLS %v: %v interruptions are counted, want 1; connections are reused: %v", secure, r.unsolicited(foundWithinResponse), !forbidden)
		}
		r.send("/4")
		r.send("/5")
		if r.opened() != 3 {
			t.Errorf("TLS %v: %v connections, want 3", secure, r.opened())
		}
	}
}
