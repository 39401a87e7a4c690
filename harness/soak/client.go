package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

var requestCount atomic.Int64

// client sends requests to one node over keep-alive connections. It does not pause while
// the node shuts down or is down, so that requests cut off by a graceful stop are detected.
type client struct {
	soak     *Soak
	instance *Instance
	address  string
	http     *http.Client
	// repeats reports that the client sends a safe request again if its connection breaks.
	repeats bool
}

func newClient(s *Soak, i *Instance) *client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true,
	}
	return &client{soak: s, instance: i, address: i.address(storetest.ClientPort), http: &http.Client{Transport: transport}}
}

// newRepeatingClient returns a client whose connections are reset as responses pass. Its
// transport sends safe requests again, with the same id.
func newRepeatingClient(s *Soak, i *Instance) *client {
	c := newClient(s, i)
	c.address, c.repeats = s.resetProxies[i.name].Address(), true
	return c
}

// run sends requests until the context ends. Those that may be repeated are on the public route,
// without a key.
func (c *client) run(ctx context.Context, unsafe bool) {
	o := order{unsafe: unsafe, key: baseKey}
	if c.repeats {
		o = order{public: true}
	}
	c.runEvery(ctx, clientInterval, func() order { return o })
}

// runKeys sends requests with valid, revoked and unknown keys and without one, on the route of the
// local server: an isolated node reaches no other.
func (c *client) runKeys(ctx context.Context) {
	c.runEvery(ctx, keysInterval, func() order {
		return order{unsafe: c.instance.service == "beta", key: drawKey(c.soak.newestVersion())}
	})
}

// runScarce sends requests of the limited account.
func (c *client) runScarce(ctx context.Context) {
	c.runEvery(ctx, scarceInterval, func() order { return order{key: scarceKey} })
}

func (c *client) runEvery(ctx context.Context, interval time.Duration, draw func() order) {
	for ctx.Err() == nil {
		c.send(draw())
		time.Sleep(interval)
	}
}

// send sends one request, checks the response and reports whether its status was 200.
func (c *client) send(o order) bool {
	id := fmt.Sprintf("r%06d", requestCount.Add(1))
	method, prefix, service := o.route()
	c.soak.checker.OnOrder(id, o)
	status, body, header, err := c.exchange(method, prefix+id, id, o.key)
	switch {
	case err != nil:
		c.soak.checker.Count("no answer")
		if !c.repeats && !errors.Is(err, context.DeadlineExceeded) && c.instance.Undisturbed(2*clientDeadline) {
			c.soak.checker.OnLoss(id, c.instance.name, err)
		}
		return false
	case status/100 == 2 || header.Get(headers.Signature) != "":
		execution, blocks, ok := executionOf(id, header.Get(headers.Signature))
		if want := responseBody(service, id, c.body(id), execution, blocks); !ok || status/100 == 2 && body != want {
			c.soak.checker.Violationf("request %s got status %d with signature %q and a body that differs from its own %s",
				id, status, header.Get(headers.Signature), difference(body, want))
			break
		}
		c.soak.checker.OnResponse(id, status, execution)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.soak.checker.OnRefusal(id, status)
		if header.Get("Retry-After") == "" {
			c.soak.checker.Violationf("request %s was refused without a Retry-After header", id)
		}
	case status == http.StatusUnauthorized:
		c.soak.checker.OnRefusal(id, status)
		since, calm := c.soak.disturbances.calmSince(c.instance.name)
		started, running := c.instance.RunningSince()
		if started.After(since) {
			since = started
		}
		c.soak.checker.OnUnauthorized(id, c.instance.name, since, calm && running)
	case status/100 == 4:
		c.soak.checker.Violationf("request %s got unexpected status %d", id, status)
	}
	c.soak.checker.Count(fmt.Sprint(status))
	return status == http.StatusOK
}

// body returns the body of the request with the given id. The transport repeats only
// requests without one.
func (c *client) body(id string) string {
	if c.repeats {
		return ""
	}
	return "body-" + id
}

// difference tells where a body begins to differ from the expected one.
func difference(body, want string) string {
	at := 0
	for at < min(len(body), len(want)) && body[at] == want[at] {
		at++
	}
	return fmt.Sprintf("at byte %d of %d: %.60q", at, len(want), body[at:])
}

// exchange sends one request and reads the whole response.
func (c *client) exchange(method, path, id, key string) (int, string, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.soak.checker.OnSending(id) },
	})
	var content io.Reader
	if body := c.body(id); body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, content)
	if err != nil {
		return 0, "", nil, err
	}
	req.Host = host
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.Deadline, fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set(headers.CallerService, "forged")
	req.Header.Set(headers.Account, "forged")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	// Prevents retries of requests with a body by the transport, which would look like
	// retries by the node.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", nil, errors.Join(errors.New("response body truncated"), err)
	}
	return res.StatusCode, string(body), res.Header, nil
}

// probe requests a route that exists only in the given version of the configuration.
// It returns the response status, or 0 if there is no response.
func (c *client) probe(version int) int {
	id := fmt.Sprintf("p%06d", requestCount.Add(1))
	c.soak.checker.OnOrder(id, order{public: true})
	status, _, _, err := c.exchange(http.MethodGet, fmt.Sprintf("/v%d/%s", version, id), id, "")
	if err != nil {
		return 0
	}
	return status
}
