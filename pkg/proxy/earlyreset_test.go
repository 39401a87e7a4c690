package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against a part of a response that is passed on as the whole, because its connection was reset while
// the request was being written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const uploads = 20
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	rawUpstream(t, m.nodes[0], func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
		time.Sleep(10 * time.Millisecond) // the response arrives before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	client, refused := newClient(t), 0
	for range uploads {
		endless, sender := io.Pipe()
		go func() {
			for block := make([]byte, 1<<20); ; {
				if _, err := sender.Write(block); err != nil {
					return
				}
			}
		}()
		got := m.do(t.Context(), client, "POST", "/once", endless, nil)
		_ = endless.Close()
		if got.err == nil && got.header.Get(HeaderRefused) != "" {
			refused++
		}
		if got.err == nil && (got.status < 500 || got.header.Get(HeaderRan) == string(reason.RanNo)) {
			t.Errorf("status %d, ran %q, body %q", got.status, got.header.Get(HeaderRan), got.body)
		}
	}
	t.Logf("%d of %d uploads were refused", refused, uploads)
	if refused == 0 {
		t.Error("no upload was refused")
	}
}
