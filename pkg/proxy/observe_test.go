package proxy

import (
	"net/http"
	"testing"
)

// Guards against the ejection of healthy upstreams for a failure further down the chain
// of calls, and against ignoring the failures of an upstream itself.
func TestClearDownstreamFailure(t *testing.T) {
	spent := &attempt{response: &response{status: http.StatusServiceUnavailable, header: http.Header{HeaderRetry: {retrySpent}}}}
	own := &attempt{response: &response{status: http.StatusServiceUnavailable, header: http.Header{}}}
	tests := []struct {
		name    string
		attempt *attempt
		want    bool
	}{
		{"spent further down", spent, false},
		{"the upstream's own", own, true},
		{"no response", &attempt{}, true},
	}
	for _, test := range tests {
		if got := clearDownstreamFailure(Result{Failed: true}, test.attempt).Failed; got != test.want {
			t.Errorf("%s: failed = %v, want %v", test.name, got, test.want)
		}
	}
}
