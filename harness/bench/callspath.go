package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/proxy"
)

// callPath is one way to reach the upstream. prepare sets the headers of a request.
type callPath struct {
	name    string
	url     string
	client  http.Client
	prepare func(r *http.Request)
}

// paths returns the direct path, the path through the peer server only, and the whole
// path through caller server and peer server.
func (m *callsMesh) paths(workers int) []*callPath {
	plain := func() *http.Transport {
		return &http.Transport{MaxIdleConnsPerHost: workers, DisableCompression: true}
	}
	var counter atomic.Uint64
	asCallerServer := func(r *http.Request) {
		id := ledger.CallID{Origin: 2, Counter: counter.Add(1)}
		r.Header.Set(proxy.HeaderCallID, id.String())
		r.Header.Set(proxy.HeaderTarget, m.target.String())
		r.Header.Set(proxy.HeaderDeadline, "2000")
		r.Header.Set(proxy.HeaderDepth, "1")
		r.Header.Set(proxy.HeaderRepeatable, "true")
	}
	none := func(*http.Request) {}
	return []*callPath{
		{name: "direct", url: m.upstreamURL, client: http.Client{Transport: plain()}, prepare: none},
		{name: "one-hop", url: "https://" + m.peerAddr, client: http.Client{Transport: m.peerTransport(workers)}, prepare: asCallerServer},
		{name: "two-hop", url: m.callerURL, client: http.Client{Transport: plain()}, prepare: none},
	}
}

// get sends one request, reads the response and checks its status and length.
func (p *callPath) get(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url+"/x?bytes=2048", nil)
	if err != nil {
		return err
	}
	p.prepare(req)
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != 2048) {
		err = fmt.Errorf("path %s: got status %d and a body of %d bytes, want status OK and the requested length", p.name, resp.StatusCode, n)
	}
	return err
}

// getPaced sends count requests at rate per second from workers and returns their
// latencies. Each is measured from the time at which the request is sent, which the pace
// or a busy worker may delay.
func (p *callPath) getPaced(ctx context.Context, workers, count int, rate float64) ([]time.Duration, error) {
	var next atomic.Int64
	var wait sync.WaitGroup
	all := make([][]time.Duration, workers)
	errs := make([]error, workers)
	begun := time.Now()
	for w := range workers {
		wait.Go(func() {
			for {
				n := next.Add(1) - 1
				if n >= int64(count) || ctx.Err() != nil {
					return
				}
				due := begun.Add(time.Duration(float64(n) / rate * float64(time.Second)))
				time.Sleep(time.Until(due))
				due = time.Now() // a late wake-up is not part of the path's latency
				if err := p.get(ctx); err != nil {
					errs[w] = err
					return
				}
				all[w] = append(all[w], time.Since(due))
			}
		})
	}
	wait.Wait()
	return slices.Concat(all...), errors.Join(errs...)
}
