package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/routing"
)

// breakableServer is a server process whose connections can be ended at once.
type breakableServer struct {
	address string
	conns   chan net.Conn
	hold    chan struct{} // requests with the path /wait are not answered until it is closed
}

func newBreakableServer(t *testing.T) *breakableServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &breakableServer{address: l.Addr().String(), conns: make(chan net.Conn, 64), hold: make(chan struct{})}
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
			go serveConn(conn, n, func(_ int, r *http.Request) string {
				switch id := r.Header.Get("X-Id"); id {
				case "wait":
					<-s.hold
					return ok(id, "late")
				case "last":
					return "HTTP/1.1 200 OK\r\nX-Id: last\r\nX-Signature: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\nclose"
				case "cut":
					return "HTTP/1.1 200 OK\r\nX-Id: cut\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nhelloclose"
				default:
					return ok(id, "hello")
				}
			})
		}
	}()
	return s
}

// end ends all open connections as the end of the process does.
func (s *breakableServer) end() {
	for {
		select {
		case conn := <-s.conns:
			_ = conn.Close()
		default:
			time.Sleep(20 * time.Millisecond) // the client's kernel has the end
			return
		}
	}
}

// Guards against a restart of the server that is not noticed, because the connections were idle,
// in use, or of the new process, and against a suspicion although a connection shows that the
// process is the same, or when it has ended a connection regularly.
func TestBrokenConnectionsTellRestart(t *testing.T) {
	do := func(c *Client, ids ...string) {
		for _, id := range ids {
			c.Do(context.Background(), request(id, routing.Safe), "i")
		}
	}
	begin := func(c *Client, id string) (wait func()) {
		opened, done := c.Opened(), make(chan struct{})
		go func() { defer close(done); do(c, id) }()
		for c.Opened() == opened {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		return func() { <-done }
	}
	tests := []struct {
		name string
		play func(s *breakableServer, c *Client)
		want bool
	}{
		{"no restart", func(s *breakableServer, c *Client) { do(c, "a", "b") }, false},
		{"idle connection, next request at once", func(s *breakableServer, c *Client) {
			do(c, "a")
			s.end()
			do(c, "b")
		}, true},
		{"idle connection, next request later", func(s *breakableServer, c *Client) {
			do(c, "a")
			s.end()
			time.Sleep(2 * livenessCheckAfter)
			do(c, "b")
		}, true},
		{"idle connection that is too old for the next request", func(s *breakableServer, c *Client) {
			do(c, "a")
			s.end()
			c.mu.Lock()
			c.idle[0].openedAt = time.Now().Add(-time.Minute)
			c.idle[0].idleSince = time.Now().Add(-2 * maxIdleUnsafe)
			c.mu.Unlock()
			c.Do(context.Background(), request("b", routing.Unsafe), "i")
		}, true},
		{"connection in use", func(s *breakableServer, c *Client) {
			wait := begin(c, "wait")
			s.end()
			wait()
		}, true},
		{"both", func(s *breakableServer, c *Client) {
			wait := begin(c, "wait")
			do(c, "a")
			s.end()
			wait()
			do(c, "b") // the idle connection may have ended after the other one
		}, true},
		{"connection to the new process is open already", func(s *breakableServer, c *Client) {
			do(c, "a")
			s.end()
			c.mu.Lock()
			old := c.idle
			c.idle = nil
			c.mu.Unlock()
			do(c, "b")
			c.mu.Lock()
			c.idle = append(c.idle, old...)
			c.mu.Unlock()
			do(c, "c")
		}, true},
		{"another connection shows the same process", func(s *breakableServer, c *Client) {
			wait := begin(c, "wait")
			do(c, "a", "cut")
			close(s.hold)
			wait()
		}, false},
		{"response cut short on the only connection", func(s *breakableServer, c *Client) { do(c, "cut") }, true},
		{"server closes with the response", func(s *breakableServer, c *Client) { do(c, "last", "a") }, false},
		{"server is known to be replaced", func(s *breakableServer, c *Client) {
			wait := begin(c, "wait")
			c.Close()
			s.end()
			wait()
		}, false},
		{"caller gives up", func(s *breakableServer, c *Client) {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			defer cancel()
			c.Do(ctx, request("wait", routing.Safe), "i")
		}, false},
	}
	for _, test := range tests {
		s := newBreakableServer(t)
		c := newClient(s.address, testBodies)
		var broken atomic.Int32
		c.opts.Broken = func() { broken.Add(1) }
		test.play(s, c)
		if got := broken.Load(); got > 0 != test.want {
			t.Errorf("%s: a restart is suspected %d times, want %v", test.name, got, test.want)
		}
	}
}

// Guards against more than one suspicion for the end of a process with several connections: the
// answer to the first health check would not count any more.
func TestEndOfProcessIsReportedOnce(t *testing.T) {
	s := newBreakableServer(t)
	c := newClient(s.address, testBodies)
	var broken atomic.Int32
	c.opts.Broken = func() { broken.Add(1) }
	var exchanges sync.WaitGroup
	for range 4 {
		exchanges.Go(func() { c.Do(context.Background(), request("wait", routing.Safe), "i") })
	}
	for c.Opened() < 4 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(s.hold)
	exchanges.Wait()
	s.end()
	for _, id := range []string{"a", "b", "c"} {
		time.Sleep(2 * livenessCheckAfter)
		c.Do(context.Background(), request(id, routing.Safe), "i")
	}
	if got := broken.Load(); got != 1 {
		t.Errorf("a restart is suspected %d times, want once", got)
	}
}

// Guards against connections that are kept in the set of open ones after their end.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	s := newBreakableServer(t)
	c := newClient(s.address, testBodies)
	for _, id := range []string{"a", "cut", "last", "b", "cut", "c"} {
		c.Do(context.Background(), request(id, routing.Safe), "i")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) != len(c.idle) || len(c.open) != 1 {
		t.Errorf("%d open connections, %d idle, want 1", len(c.open), len(c.idle))
	}
}

// Guards against a cold time that is read wrongly, or that an incomplete or malformed response
// is taken for.
func TestColdTimeOfHealthCheck(t *testing.T) {
	tests := []struct {
		respond string
		want    time.Duration
		ok      bool
	}{
		{"HTTP/1.1 200 OK\r\nX-Cold: 1500\r\nContent-Length: 2\r\n\r\nok", 1500 * time.Millisecond, true},
		{"HTTP/1.1 503 Cold\r\nX-Cold: 10\r\nContent-Length: 0\r\n\r\n", 10 * time.Millisecond, true},
		{"HTTP/1.1 200 OK\r\nX-Cold: 0\r\nContent-Length: 0\r\n\r\n", 0, true},
		{"HTTP/1.1 200 OK\r\nX-Cold: 99999999999999\r\nContent-Length: 0\r\n\r\n", maxColdTime, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"HTTP/1.1 200 OK\r\nX-Cold: -1\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"HTTP/1.1 200 OK\r\nX-Cold: 1s\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"HTTP/1.1 200 OK\r\nX-Cold: 0\r\nX-Cold: 5\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"HTTP/1.1 000 Trouble\r\nX-Cold: 10\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"HTTP/1.1 200 OK\r\nX-Cold: 10\r\nX Trouble: 1\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"HTTP/1.1 200 OK\r\nX-Coclose", 0, false},
		{"close", 0, false},
	}
	for _, test := range tests {
		paths := make(chan string, 1)
		address := server(t, func(_ int, r *http.Request) string { paths <- r.Method + " " + r.URL.Path; return test.respond })
		c := newClient(address, testBodies)
		c.opts.Headers.ColdTime = "X-Cold"
		got, err := c.ColdTime(context.Background(), "/health")
		if (err == nil) != test.ok || got != test.want {
			t.Errorf("%q: %s, %v; want %s, %v", test.respond, got, err, test.want, test.ok)
		}
		if path := <-paths; path != "GET /health" {
			t.Errorf("asked %s", path)
		}
	}
}
