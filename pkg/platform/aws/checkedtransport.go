package aws

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/framing"
)

// checkedTransport is a transport for HTTP/1 that returns an error for a response that HTTP/1 doesn't allow.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := framing.CheckFinal(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
