package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// startTrailingServer starts a server that runs every request and responds to it with its id.
// After a delay it sends a further response, which has no id, on the same connection.
func startTrailingServer(t *testing.T, takes, delay time.Duration, further string) string {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(takes)
			id := r.Header.Get("X-Id")
			_, _ = conn.Write([]byte(ok(id, id)))
			time.AfterFunc(delay, func() { _, _ = conn.Write([]byte(further)) })
		}
	})
}

// Guards against a late response without an id that is taken for the response to the next
// request on its connection: that one would count as not run, or as failed, although the
// server runs it.
func TestLateResponseWithoutIDIsTakenForNextResponse(t *testing.T) {
	for name, further := range map[string]string{
		"refusal": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure": "HTTP/1.1 500 Failed\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 6 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s after %s", name, delay), func(t *testing.T) {
				t.Parallel()
				c := newClient(startTrailingServer(t, 10*time.Millisecond, delay, further), testBodies)
				served := 0
				for i := range 8 {
					id := fmt.Sprint("r", i)
					res := c.Do(context.Background(), request(id, routing.Unsafe), "i")
					if res.Ran == reason.RanNo || res.Status == http.StatusInternalServerError {
						t.Errorf("request %s: status %d, ran %q, but the server ran it with success", id, res.Status, res.Ran)
					}
					if res.Status == http.StatusOK {
						served++
					}
				}
				if served == 0 {
					t.Error("no request was served")
				}
			})
		}
	}
}

// Guards against a request that must not run twice and is given up, because it was sent on a connection on which
// a further response without an id was already waiting.
func TestWaitingResponseSpoilsNextRequest(t *testing.T) {
	const requests = 20
	further := "HTTP/1.1 200 OK\r\nX-Signature: other\r\nContent-Length: 2\r\n\r\nok"
	c := newClient(startTrailingServer(t, 0, time.Millisecond, further), testBodies)
	served := 0
	for i := range requests {
		if res := c.Do(context.Background(), request(fmt.Sprint("r", i), routing.Unsafe), "i"); res.Status == http.StatusOK {
			served++
		}
		time.Sleep(10 * time.Millisecond) // the further response arrives
	}
	if served < requests {
		t.Errorf("%d of %d requests were served", served, requests)
	}
}
