package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an upstream that counts as healthy although HTTP/1 doesn't allow the head of its responses.
func TestInvalidHeadIsNoHealth(t *testing.T) {
	for head, healthy := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n": false, "HTTP/1.1 000 Trouble\r\n": false, "HTTP/3.7 200 OK\r\n": false,
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte(head + "Content-Length: 0\r\n\r\n"))
				}
				_ = conn.Close()
			}
		}()
		r := NewRegistry(nil)
		a := Announcement{Service: "orders", Address: l.Addr().String(), HealthPath: "/health", Version: "v1", Slots: 1}
		if err := r.Announce(time.Now(), a); err != nil {
			t.Fatal(err)
		}
		p := NewPoller(r)
		for range unhealthyThreshold {
			p.poll(t.Context(), a)
		}
		if status, _ := r.Status(time.Now()); status.Hints.Unhealthy == healthy {
			t.Errorf("%q: unhealthy %t, want %t", head, status.Hints.Unhealthy, !healthy)
		}
	}
}
