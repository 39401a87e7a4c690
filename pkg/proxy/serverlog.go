package proxy

import (
	"bytes"
	"log"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
)

// serverLog receives the log messages of an http.Server. Failed TLS handshakes are counted
// instead of logged, because broken connections cause many of them.
type serverLog struct{ handshakes prometheus.Counter }

var handshakeFailed = []byte("http: TLS handshake error")

func (l serverLog) Write(message []byte) (int, error) {
	if bytes.HasPrefix(message, handshakeFailed) {
		l.handshakes.Inc()
	} else {
		event.HTTPServer.Log("message", string(bytes.TrimSpace(message)))
	}
	return len(message), nil
}

func newServerLog(m *Metrics) *log.Logger { return log.New(serverLog{m.handshakes}, "", 0) }
