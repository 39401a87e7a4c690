package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkCall measures a call over the complete path, including client and upstream.
func BenchmarkCall(b *testing.B) {
	answer := strings.Repeat("x", 2048)
	m := newMesh(b, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, answer)
	}))
	client := newClient(b)
	for _, method := range []string{"GET", "POST"} {
		b.Run(method, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var body io.Reader
				if method == "POST" {
					body = strings.NewReader("order")
				}
				got := m.do(b.Context(), client, method, "/x", body, nil)
				if got.err != nil || got.status != http.StatusOK {
					b.Fatalf("status %d, error %v", got.status, got.err)
				}
			}
		})
	}
}
