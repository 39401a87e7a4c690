package aws

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answeringEndpoint starts a service that sends the text in response to each request, before it has read the
// body, and then ends the connection as given.
func answeringEndpoint(t *testing.T, text string, end func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = conn.Write([]byte(text))
				time.Sleep(10 * time.Millisecond) // the response arrives before the end
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a write that counts as done because a reset of its connection passes as the end of the
// response.
func TestResetDuringWrite(t *testing.T) {
	const writes = 60
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\n\r\n"
	endpoint := answeringEndpoint(t, head, func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	whole := 0
	for range writes {
		res, err := client.Post(endpoint, "application/x-amz-json-1.0", bytes.NewReader(make([]byte, 6<<20)))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(res.Body); err == nil {
			whole++
		}
		_ = res.Body.Close()
	}
	if whole > 0 {
		t.Errorf("%d of %d responses whose connection was reset pass as whole", whole, writes)
	}
}
