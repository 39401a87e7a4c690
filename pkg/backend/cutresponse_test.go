package backend

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// stutteringConn is a connection of a server that sends further responses at any time. mu keeps
// the pieces of responses whole.
type stutteringConn struct {
	net.Conn
	mu      sync.Mutex
	earlier string // the response before the one in progress
}

func (c *stutteringConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write([]byte(text))
}

func (c *stutteringConn) sendAfter(d time.Duration, text string) {
	time.AfterFunc(d, func() { c.send(text) })
}

// sendInPieces sends a text in pieces, with pauses.
func (c *stutteringConn) sendInPieces(text string, size int) {
	for len(text) > 0 {
		n := min(len(text), size)
		c.send(text[:n])
		text = text[n:]
		time.Sleep(20 * time.Microsecond)
	}
}

// stutteringServer starts a server that takes the time for each request and then has play respond
// to it.
func stutteringServer(t *testing.T, takes time.Duration, play func(c *stutteringConn, id string)) string {
	t.Helper()
	return listen(t, func(inner net.Conn) {
		defer inner.Close()
		c := &stutteringConn{Conn: inner}
		reader := bufio.NewReader(inner)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(takes)
			play(c, r.Header.Get("X-Id"))
		}
	})
}

// longBody is a body that tells its request at both ends.
func longBody(id string, size int) string {
	return id + strings.Repeat(" "+id, size/(len(id)+1)) + " end"
}

// failed returns a failure with the signature of the server.
func failed(id string) string {
	text := "HTTP/1.1 500 Failed\r\nX-Signature: s" + id + "\r\n"
	if id != "" {
		text += "X-Id: " + id + "\r\n"
	}
	return text + "Content-Length: 0\r\n\r\n"
}

func chunkedOK(id, body string) string {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for len(body) > 0 {
		n := min(len(body), 500)
		text += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return text + "0\r\n\r\n"
}

func endingOK(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s%s\r\n\r\n%s", id, id, body)
}

// countWrong sends requests over few connections and returns how many got a response that the server
// did not give to them, or not wholly, and how many were served. wantStatus tells the status with
// which the server responded to a request, 0 if it did not.
func countWrong(t *testing.T, address string, requests, size int, wantStatus func(id string) int) (wrong, served int) {
	t.Helper()
	c := newClient(address, testBodies)
	defer c.Close()
	for i := range requests {
		id := fmt.Sprint("r", i)
		req := request(id, routing.Safe)
		req.Deadline = time.Now().Add(300 * time.Millisecond)
		res := c.Do(context.Background(), req, "i")
		switch {
		case !res.Answered():
			if res.Ran == reason.RanNo {
				t.Errorf("request %s: reported as not run", id)
			}
		case res.Status != wantStatus(id) || res.Status == http.StatusOK && string(res.Body) != longBody(id, size):
			wrong++
			if wrong <= 2 {
				t.Logf("request %s got status %d with %d bytes that end with %q; the server's status was %d",
					id, res.Status, len(res.Body), res.Body[max(0, len(res.Body)-20):], wantStatus(id))
			}
		default:
			served++
		}
	}
	return wrong, served
}

// isCut tells the requests to which the server's response is cut.
func isCut(id string) bool { return strings.HasSuffix(id, "3") || strings.HasSuffix(id, "7") }

func statusUnlessCut(id string) int {
	if isCut(id) {
		return 0
	}
	return http.StatusOK
}

// Guards against a response that breaks off while its connection stays open, and is filled up to its
// length by the late copy of a response.
func TestCutResponseIsFilledUpByCopy(t *testing.T) {
	const requests = 40
	for name, encode := range map[string]func(id, body string) string{"length": ok, "chunks": chunkedOK} {
		for _, size := range []int{100, 6000, 60_000} {
			for _, ofEarlier := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, copy of an earlier response %t", name, size, ofEarlier), func(t *testing.T) {
					t.Parallel()
					address := stutteringServer(t, 2*time.Millisecond, func(c *stutteringConn, id string) {
						text := encode(id, longBody(id, size))
						head := strings.Index(text, "\r\n\r\n") + 4
						c.sendAfterCut(id, text, head, ofEarlier)
					})
					wrong, served := countWrong(t, address, requests, size, statusUnlessCut)
					if wrong > 0 {
						t.Errorf("%d of %d requests got a response that another one fills up", wrong, requests)
					}
					if served < requests/2 {
						t.Errorf("%d of %d requests were served, want most of the %d whose response was not cut", served, requests, requests*8/10)
					}
				})
			}
		}
	}
}

// sendAfterCut sends a response. If it is to be cut, that is within the last part of its body, and a
// whole copy of it or of the earlier response follows.
func (c *stutteringConn) sendAfterCut(id, text string, head int, ofEarlier bool) {
	if !isCut(id) {
		c.send(text)
		c.earlier = text
		return
	}
	body := len(text) - head
	c.send(text[:len(text)-1-rand.IntN(max(1, body/3))])
	again := text
	if ofEarlier && c.earlier != "" {
		again = c.earlier
	}
	c.sendAfter(rand.N(10*time.Millisecond), again)
}

// Guards against a copy that counts as the end of a response that has no length.
func TestCopyBeforeEndOfConnection(t *testing.T) {
	const requests, size = 30, 300
	address := stutteringServer(t, time.Millisecond, func(c *stutteringConn, id string) {
		text := endingOK(id, longBody(id, size))
		c.send(text)
		time.Sleep(5 * time.Millisecond)
		if isCut(id) {
			c.send(text)
		}
		_ = c.Close()
	})
	// The response of isCut was whole, so that it may be passed on without its copy.
	wrong, served := countWrong(t, address, requests, size, func(string) int { return http.StatusOK })
	if wrong > 0 || served < requests/2 {
		t.Errorf("%d of %d requests got a response with a copy at its end, %d were served", wrong, requests, served)
	}
}

// Guards against a response whose body has pieces of its copy, because the server sends both at the same
// time.
func TestPiecesOfResponsesAlternate(t *testing.T) {
	const requests, size = 30, 100_000
	address := stutteringServer(t, 0, func(c *stutteringConn, id string) {
		text := ok(id, longBody(id, size))
		if isCut(id) {
			go c.sendInPieces(text, 4000)
		}
		c.sendInPieces(text, 4000)
	})
	wrong, served := countWrong(t, address, requests, size, func(string) int { return http.StatusOK })
	if wrong > 0 || served < requests/2 {
		t.Errorf("%d of %d requests got a response with pieces of another one, %d were served", wrong, requests, served)
	}
}

// withID replaces the id of a response, but not its signature.
func withID(response, id, other string) string {
	return strings.Replace(response, "X-Id: "+id+"\r\n", "X-Id: "+other+"\r\n", 1)
}

// Guards against the second response to a request that is taken for the first because that one
// has another id, or none.
func TestSecondResponseDiffers(t *testing.T) {
	const requests, size = 40, 100
	for name, first := range map[string]func(c *stutteringConn, id string) string{
		"failure with a foreign id":  func(_ *stutteringConn, id string) string { return failed("x" + id) },
		"failure without an id":      func(*stutteringConn, string) string { return failed("") },
		"failure with its id":        func(_ *stutteringConn, id string) string { return failed(id) },
		"failure with an earlier id": func(c *stutteringConn, id string) string { return withID(failed(id), id, c.earlier) },
		"success without an id": func(_ *stutteringConn, id string) string {
			return strings.Replace(ok(id, longBody(id, size)), "X-Id: "+id+"\r\n", "", 1)
		},
		"success with a foreign id":  func(_ *stutteringConn, id string) string { return ok("x"+id, longBody(id, size)) },
		"success with an earlier id": func(c *stutteringConn, id string) string { return withID(ok(id, longBody(id, size)), id, c.earlier) },
		"success with an id that is twice": func(_ *stutteringConn, id string) string {
			return strings.Replace(ok("x"+id, longBody(id, size)), "\r\n\r\n", "\r\nX-Id: "+id+"\r\n\r\n", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantStatus := func(id string) int {
				if isCut(id) && strings.HasPrefix(name, "failure") {
					return http.StatusInternalServerError
				}
				return http.StatusOK
			}
			address := stutteringServer(t, 2*time.Millisecond, func(c *stutteringConn, id string) {
				if isCut(id) {
					c.send(first(c, id))
					second := ok(id, longBody(id, size))
					if strings.HasPrefix(name, "success") {
						second = failed(id)
					}
					c.sendAfter(rand.N(4*time.Millisecond), second)
					return
				}
				c.send(ok(id, longBody(id, size)))
				c.earlier = id
			})
			wrong, served := countWrong(t, address, requests, size, wantStatus)
			if wrong > 0 {
				t.Errorf("%d of %d requests got the second response", wrong, requests)
			}
			if served < requests/2 {
				t.Errorf("%d of %d requests were served", served, requests)
			}
		})
	}
}

// Guards against an exchange whose deadline and cancellation are forgotten because a response that was
// skipped ended like the beginning of a status line.
func TestSkippedResponseEndsDeadline(t *testing.T) {
	const deadline, margin = 200 * time.Millisecond, 2 * time.Second
	for _, canceled := range []bool{false, true} {
		address := stutteringServer(t, 0, func(c *stutteringConn, id string) {
			c.send(ok("first", "ends with H")) // the other request gets this copy and nothing else
		})
		c := newClient(address, testBodies)
		if res := c.Do(context.Background(), request("first", routing.Safe), "i"); res.Status != http.StatusOK {
			t.Fatalf("%+v", res)
		}
		req := request("second", routing.Unsafe)
		req.Deadline = time.Now().Add(deadline)
		ctx, cancel := context.WithCancel(t.Context())
		if canceled {
			time.AfterFunc(5*time.Millisecond, cancel)
		}
		ended := make(chan struct{})
		go func() { c.Do(ctx, req, "i"); close(ended) }()
		select {
		case <-ended:
		case <-time.After(deadline + margin):
			t.Errorf("canceled %t: the exchange goes on %v after its deadline", canceled, margin)
		}
		cancel()
	}
}

// Guards against a response that a copy fills up which itself breaks off in its head, so that the next one
// begins right behind.
func TestCutCopyFillsUpCutResponse(t *testing.T) {
	const requests, size = 40, 6000
	for name, from := range map[string]string{"behind the id": "X-Signature", "within the name of a header": "gnature"} {
		t.Run(name, func(t *testing.T) {
			address := stutteringServer(t, time.Millisecond, func(c *stutteringConn, id string) {
				text := ok(id, longBody(id, size))
				if !isCut(id) {
					c.send(text)
					return
				}
				cutCopy := text[:strings.Index(text, from)]
				c.send(text[:len(text)-len(cutCopy)])
				time.Sleep(time.Millisecond)
				c.send(cutCopy)
				c.send(text)
			})
			wrong, served := countWrong(t, address, requests, size, statusUnlessCut)
			if wrong > 0 || served < requests/2 {
				t.Errorf("%d of %d requests got a response that a cut copy fills up, %d were served", wrong, requests, served)
			}
		})
	}
}

// Guards against a response with another one within, which bears none of the deployment's headers. That
// the bytes behind the response begin no message tells; they are still in the socket if the body is long.
func TestOtherResponseWithinLongBody(t *testing.T) {
	const requests = 40
	for name, other := range map[string]string{"interim": "HTTP/1.1 100 Continue\r\n\r\n", "refusal": "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"} {
		for _, size := range []int{3000, 280_000} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				address := stutteringServer(t, 0, func(c *stutteringConn, id string) {
					text := ok(id, longBody(id, size))
					if isCut(id) {
						text = text[:len(text)/2] + other + text[len(text)/2:]
					}
					c.send(text)
				})
				wrong, served := countWrong(t, address, requests, size, func(string) int { return http.StatusOK })
				if wrong > 0 || served < requests/2 {
					t.Errorf("%d of %d requests got a response with another one within, %d were served", wrong, requests, served)
				}
			})
		}
	}
}
