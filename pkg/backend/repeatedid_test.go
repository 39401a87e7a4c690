package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/routing"
)

// repeatingServer responds to the first request with an id with status 200, to the second
// with 500, and so on in turn. The body is the number of the request among those with its id.
// It sends each response again on the same connection after a delay.
type repeatingServer struct {
	delay time.Duration

	mu       sync.Mutex
	takes    time.Duration
	requests map[string]int // by id
}

func (s *repeatingServer) setTakes(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takes = d
}

func (s *repeatingServer) start(t *testing.T) string {
	t.Helper()
	s.requests = make(map[string]int)
	return listen(t, s.serve)
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, takes := s.respond(r.Header.Get("X-Id"))
		time.Sleep(takes)
		_, _ = conn.Write([]byte(text))
		time.AfterFunc(s.delay, func() { _, _ = conn.Write([]byte(text)) })
	}
}

func (s *repeatingServer) respond(id string) (text string, takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[id]++
	body := strconv.Itoa(s.requests[id])
	if s.requests[id]%2 == 1 {
		return ok(id, body), s.takes
	}
	return fmt.Sprintf("HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body), s.takes
}

// Guards against the late copy of a response that is taken for the response to a later
// request with the same id.
func TestRepeatedIDGetsCopyOfEarlierResponse(t *testing.T) {
	const requests = 6
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 6 * time.Millisecond, 30 * time.Millisecond} {
		for _, between := range []int{0, 1, 5} { // requests with other ids
			t.Run(fmt.Sprintf("copy after %s, %d other requests", delay, between), func(t *testing.T) {
				t.Parallel()
				s := &repeatingServer{takes: 10 * time.Millisecond, delay: delay}
				c := newClient(s.start(t), testBodies)
				for i := range requests {
					res := c.Do(context.Background(), request("r", routing.Safe), "i")
					if want := strconv.Itoa(i + 1); string(res.Body) != want {
						t.Errorf("request %s got the response to request %q with status %d", want, res.Body, res.Status)
					}
					for k := range between {
						id := fmt.Sprint("other-", i, "-", k)
						if res := c.Do(context.Background(), request(id, routing.Safe), "i"); string(res.Body) != "1" || res.Status != http.StatusOK {
							t.Errorf("request %s: status %d, body %q", id, res.Status, res.Body)
						}
					}
				}
			})
		}
	}
}

// Guards against connections that are not reused for requests with other ids, and against a
// connection whose ids are kept without a bound.
func TestConnectionReuse(t *testing.T) {
	for _, test := range []struct{ requests, opened int }{{maxRequestsPerConnection, 1}, {2*maxRequestsPerConnection + 1, 3}} {
		c := newClient(server(t, func(_ int, r *http.Request) string { return ok(r.Header.Get("X-Id"), "") }), testBodies)
		for i := range test.requests {
			id := fmt.Sprint("r", i)
			if res := c.Do(context.Background(), request(id, routing.Unsafe), "i"); res.Status != http.StatusOK {
				t.Fatalf("request %s: %+v", id, res)
			}
		}
		if c.Opened() != test.opened {
			t.Errorf("%d requests: %d connections, want %d", test.requests, c.Opened(), test.opened)
		}
	}
}

// Guards against repeated ids that open connections although idle ones have not carried them.
func TestRepeatedIDReusesOtherConnections(t *testing.T) {
	c := newClient(server(t, func(_ int, r *http.Request) string { return ok(r.Header.Get("X-Id"), "") }), testBodies)
	for range 3 {
		c.Do(context.Background(), request("r", routing.Safe), "i")
	}
	if c.Opened() != 3 {
		t.Fatalf("%d connections for 3 requests with one id", c.Opened())
	}
	for i := range 10 {
		c.Do(context.Background(), request(fmt.Sprint("other-", i%2), routing.Safe), "i")
	}
	if c.Opened() > 5 {
		t.Errorf("%d connections, want at most as many as requests with one id", c.Opened())
	}
}

// Guards against connections whose number grows with each repetition of one id until the server
// takes no further one.
func TestConnectionsPileUpForOneID(t *testing.T) {
	c := newClient(server(t, func(_ int, r *http.Request) string { return ok(r.Header.Get("X-Id"), "") }), testBodies)
	for i := range 200 {
		if res := c.Do(context.Background(), request("r", routing.Safe), "i"); res.Status != http.StatusOK {
			t.Fatalf("request %d: %+v", i, res)
		}
		if len(c.idle) > maxPassedOver {
			t.Fatalf("%d idle connections after %d requests with one id", len(c.idle), i+1)
		}
	}
}

// Guards against a request that is given up because the copies of several earlier responses
// arrive before its own.
func TestCopiesOfSeveralResponsesWait(t *testing.T) {
	const burst = 12
	s := &repeatingServer{takes: 100 * time.Microsecond, delay: 60 * time.Millisecond}
	c := newClient(s.start(t), testBodies)
	for i := range burst {
		c.Do(context.Background(), request(fmt.Sprint("r", i), routing.Unsafe), "i")
	}
	s.setTakes(100 * time.Millisecond) // all copies arrive meanwhile
	if res := c.Do(context.Background(), request("last", routing.Unsafe), "i"); res.Status != http.StatusOK || string(res.Body) != "1" {
		t.Errorf("status %d, refusal %q, body %q", res.Status, res.Refusal, res.Body)
	}
}
