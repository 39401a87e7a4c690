package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// copyingServer sends each response twice on its connection, the copy after a delay. It
// refuses every other request.
type copyingServer struct {
	delay  time.Duration
	withID bool // refusals carry the id of the request

	mu       sync.Mutex
	requests int
	ran      map[string]bool
}

func (s *copyingServer) start(t *testing.T) string {
	t.Helper()
	return listen(t, s.serve)
}

func (s *copyingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := s.respond(r.Header.Get("X-Id"))
		time.Sleep(3 * time.Millisecond) // a copy of the response before may arrive first
		_, _ = conn.Write([]byte(text))
		time.AfterFunc(s.delay, func() { _, _ = conn.Write([]byte(text)) })
	}
}

func (s *copyingServer) respond(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.requests%2 == 0 {
		s.ran[id] = true
		return ok(id, id)
	}
	text := "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	if s.withID {
		text += "X-Id: " + id + "\r\n"
	}
	return text + "\r\n"
}

func (s *copyingServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// Guards against a late copy of a response that is taken for the response to the next
// request on its connection. The copy of a refusal would say that a request has not run
// although the server runs it.
func TestCopiedResponses(t *testing.T) {
	const requests = 8
	for _, withID := range []bool{true, false} {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 200 * time.Millisecond} {
			for _, pause := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
				t.Run(fmt.Sprintf("id %t, copy after %s, next request after %s", withID, delay, pause), func(t *testing.T) {
					t.Parallel()
					s := &copyingServer{delay: delay, withID: withID, ran: make(map[string]bool)}
					c := newClient(s.start(t), testBodies)
					for i := range requests {
						id := fmt.Sprint("r", i)
						res := c.Do(context.Background(), request(id, routing.Unsafe), "i")
						if res.Ran == reason.RanNo && s.hasRun(id) {
							t.Errorf("request %s: reported as not run, but the server ran it", id)
						}
						if res.Status == http.StatusOK && string(res.Body) != id {
							t.Errorf("request %s got the response to %s", id, res.Body)
						}
						time.Sleep(pause)
					}
				})
			}
		}
	}
}
