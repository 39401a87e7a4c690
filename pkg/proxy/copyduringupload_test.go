package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Guards against a copy that is taken for the response to an upload in progress without being found, so that
// copies go on reaching other calls, and against early responses that count as copies.
func TestCopyDuringUploadIsFound(t *testing.T) {
	for name, copies := range map[string]float64{"early response": 0, "copy": 1} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, defaultService(), http.HandlerFunc(echo))
			rawUpstream(t, m.nodes[0], func(conn net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.Method == "POST" && copies > 0 { // the copy of the response before
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			client := newClient(t)
			const path = "/free" // reuses connections however long they were idle
			if got := m.do(t.Context(), client, "GET", path, nil, nil); got.body != "ok" {
				t.Fatalf("%+v", got)
			}
			upload, rest := io.Pipe()
			defer rest.Close()
			go func() { _, _ = rest.Write([]byte("begin")) }()
			if got := m.do(t.Context(), client, "POST", path, upload, nil); got.body != "ok" {
				t.Fatalf("%+v", got)
			}
			found := func() float64 {
				return testutil.ToFloat64(m.metrics.unsolicited.WithLabelValues(kindUpstream, foundAfterResponse))
			}
			for end := time.Now().Add(noticeTimeout); copies > 0 && found() == 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(2 * restTime)
			if found() != copies {
				t.Errorf("%v copies were found, want %v", found(), copies)
			}
			if opened := testutil.ToFloat64(m.metrics.opened.WithLabelValues(kindUpstream)); opened != 1 {
				t.Errorf("%v connections, want 1", opened)
			}
		})
	}
}
