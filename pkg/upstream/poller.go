package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/framing"
)

// Poller polls the health and load endpoints of the announced upstream. Its state is
// owned by the goroutine of Run.
type Poller struct {
	registry *Registry
	client   http.Client
	polled   Announcement
	failures int // consecutive failed health polls
}

// NewPoller returns a poller for the upstream announced in r.
func NewPoller(r *Registry) *Poller {
	return &Poller{registry: r, client: http.Client{
		Timeout: pollTimeout,
		// On a connection in use, a late copy of a response would be taken for the next one.
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if status, ok := p.registry.Status(now); ok {
				p.poll(ctx, status.Announcement)
			}
		}
	}
}

func (p *Poller) poll(ctx context.Context, a Announcement) {
	if !p.polled.sameProcess(a) {
		p.polled, p.failures = a, 0
	}
	var h Hints
	if a.HealthPath != "" {
		if _, err := p.get(ctx, a.Address, a.HealthPath); err != nil {
			p.failures++
			p.registry.metrics.pollsFailed.WithLabelValues("health").Inc()
		} else {
			p.failures = 0
		}
		h.Unhealthy = p.failures >= unhealthyThreshold
	}
	if a.LoadPath != "" {
		var load Load
		body, err := p.get(ctx, a.Address, a.LoadPath)
		if err == nil {
			err = json.Unmarshal(body, &load)
		}
		if err != nil {
			p.registry.metrics.pollsFailed.WithLabelValues("load").Inc()
		} else {
			h.Load = &load
		}
	}
	p.registry.setHints(a, h)
}

func (p *Poller) get(ctx context.Context, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := framing.CheckFinal(resp); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return body, err
}
