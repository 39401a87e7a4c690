package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

const (
	// uploadBytes is more than the kernel buffers of a connection whose server reads nothing.
	uploadBytes   = 6 << 20
	earlyBody     = "the body of an early response"
	earlyResponse = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n"
)

// answerEarly starts a server that responds to each request before it has read the body, with the given
// field lines, and then ends the connection as given.
func answerEarly(t *testing.T, fields string, end func(conn *net.TCPConn, unread io.Reader)) string {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, earlyResponse+fields+"\r\n"+earlyBody, r.Header.Get("X-Id"))
		time.Sleep(10 * time.Millisecond) // the response arrives before the end
		end(conn.(*net.TCPConn), r.Body)
	})
}

func upload(id string) *call.Request {
	req := request(id, routing.Unsafe)
	req.Method = "POST"
	req.Head = fmt.Appendf(nil, "POST /a HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nContent-Length: %d\r\n", id, uploadBytes)
	req.Body = bytes.Repeat([]byte("x"), uploadBytes)
	return req
}

func resetConn(conn *net.TCPConn, _ io.Reader) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a part of a response that passes as the whole, because its connection was reset while the
// request was being written.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 60
	address := answerEarly(t, "", resetConn)
	c := newClient(address, 1<<30)
	passed := 0
	for i := range uploads {
		res := c.Do(context.Background(), upload(fmt.Sprint("r", i)), "i")
		if res.Answered() {
			passed++
		} else if res.Ran != reason.RanUnknown {
			t.Errorf("upload %d: ran %q, want that it is unknown", i, res.Ran)
		}
	}
	if passed > 0 {
		t.Errorf("%d of %d responses whose connection was reset pass as whole", passed, uploads)
	}
}

// Guards against the loss of early responses that are whole.
func TestEarlyResponseIsWhole(t *testing.T) {
	length := fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(earlyBody))
	tests := map[string]struct {
		fields string
		end    func(conn *net.TCPConn, unread io.Reader)
	}{
		"the end of the connection, all is read": {"", func(conn *net.TCPConn, unread io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, unread)
		}},
		"the end of the connection, all is read before": {"", func(_ *net.TCPConn, unread io.Reader) {
			_, _ = io.Copy(io.Discard, unread)
		}},
		"the end of the connection, then a reset": {"", func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			resetConn(conn, nil)
		}},
		"a length, then a reset": {length, resetConn},
		"a length, all is read":  {length, func(_ *net.TCPConn, unread io.Reader) { _, _ = io.Copy(io.Discard, unread) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClient(answerEarly(t, test.fields, test.end), 1<<30)
			for i := range 10 {
				res := c.Do(context.Background(), upload(fmt.Sprint("r", i)), "i")
				if res.Status != http.StatusOK || string(res.Body) != earlyBody {
					t.Errorf("status %d, ran %q, body %q; want the response", res.Status, res.Ran, res.Body)
				}
			}
		})
	}
}
