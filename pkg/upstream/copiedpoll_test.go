package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveCopies serves one connection of a server whose health check passes once and fails from then on. When a
// further poll has arrived, it first sends its earlier response once more.
func serveCopies(conn net.Conn, healthy func() bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for earlier := ""; ; {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		text := "HTTP/1.1 503 Failing\r\nContent-Length: 0\r\n\r\n"
		if healthy() {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = conn.Write([]byte(earlier + text))
		earlier = text
	}
}

// Guards against a failing upstream that counts as healthy, since the late copy of an earlier response is
// taken for the one to a poll.
func TestCopyHidesFailingHealth(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	polls := 0
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serveCopies(conn, func() bool { polls++; return polls == 1 })
		}
	}()
	r := NewRegistry(nil)
	a := Announcement{Service: "orders", Address: l.Addr().String(), HealthPath: "/health", Version: "v1", Slots: 1}
	if err := r.Announce(time.Now(), a); err != nil {
		t.Fatal(err)
	}
	p := NewPoller(r)
	for range 1 + unhealthyThreshold {
		p.poll(t.Context(), a)
	}
	if status, _ := r.Status(time.Now()); !status.Hints.Unhealthy {
		t.Errorf("after %d failed polls of %d the upstream counts as healthy", unhealthyThreshold, polls)
	}
}
