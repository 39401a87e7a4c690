package load

import (
	"net"
	"net/http"
	"testing"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
)

// Guards against a load that is sent to other than loopback addresses, or that counts
// wrong, truncated or failed responses as good ones.
func TestLoadChecksResponses(t *testing.T) {
	serve := func(h http.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: h}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { server.Close() })
		return "http://" + l.Addr().String()
	}
	upstream := fake.NewUpstream(fake.UpstreamOptions{Seed: 1}, fake.Behavior{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = upstream.Serve(l) }()
	t.Cleanup(func() { upstream.Close() })
	wrong := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(fake.ExpectedBody("another", "/", nil, 100))
	}))
	cut := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
	}))
	for _, tc := range []struct {
		url                 string
		good, wrong, errors int
	}{{"http://" + l.Addr().String(), 20, 0, 0}, {wrong, 20, 20, 0}, {cut, 0, 0, 20}} {
		got, err := Run(t.Context(), Options{URLs: []string{tc.url}, Workers: 2, Duration: time.Minute,
			Requests: 20, PostShare: 0.5, RequestBytes: 50, ResponseBytes: 100})
		if err != nil {
			t.Fatal(err)
		}
		if got.Requests != 20 || got.Statuses[200] != tc.good || got.Wrong != tc.wrong || got.Errors != tc.errors {
			t.Errorf("%s: %+v, want %+v", tc.url, got, tc)
		}
	}
	if _, err := Run(t.Context(), Options{URLs: []string{"http://192.0.2.1:80"}, Workers: 1, Duration: time.Second}); err == nil {
		t.Error("a load to a non-loopback address was accepted")
	}
}
