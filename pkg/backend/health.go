package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"

	"corianderwood.example/corianderwood/pkg/framing"
	"corianderwood.example/corianderwood/pkg/netconn"
)

// ColdTime asks the server's health check at the given path how much longer it stays cold. It
// uses a connection of its own, so that the server process that answers is the current one.
func (c *Client) ColdTime(ctx context.Context, path string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.opts.Address+path, http.NoBody)
	if err != nil {
		return 0, oops.Wrapf(err, "build health check request")
	}
	transport := &http.Transport{
		DialContext:            func(ctx context.Context, _, addr string) (net.Conn, error) { return netconn.Dial(ctx, addr) },
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	res, err := transport.RoundTrip(req) // a redirect is not followed
	if err != nil {
		return 0, oops.Wrapf(err, "health check of the server")
	}
	defer res.Body.Close()
	if err := framing.CheckFinal(res); err != nil {
		return 0, oops.Wrapf(err, "health check of the server")
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHealthBody)) // what it says is in the headers
	return parseColdTime(res.Header.Values(c.opts.Headers.ColdTime))
}

// parseColdTime parses the values of the header with the remaining cold time in milliseconds.
func parseColdTime(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, oops.Errorf("health response has %d headers with the cold time, want 1", len(values))
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || ms < 0 {
		return 0, oops.Errorf("cold time in the health response is not a number of milliseconds")
	}
	return time.Duration(min(ms, maxColdTime.Milliseconds())) * time.Millisecond, nil
}
