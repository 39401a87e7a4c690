package proxy

import (
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// pools holds one pool per address. mu guards its state. A goroutine closes idle
// connections periodically until close is called.
type pools struct {
	kind    string
	tls     *tls.Config
	metrics *Metrics

	mu     sync.RWMutex
	byAddr map[string]*pool
	stop   chan struct{}
	once   sync.Once
}

func newPools(kind string, cfg *tls.Config, m *Metrics) *pools {
	if cfg != nil && cfg.ClientSessionCache == nil {
		cfg = cfg.Clone()
		cfg.ClientSessionCache = tls.NewLRUClientSessionCache(0)
	}
	p := &pools{kind: kind, tls: cfg, metrics: m, byAddr: make(map[string]*pool), stop: make(chan struct{})}
	go p.run()
	return p
}

func (p *pools) of(addr string) *pool {
	p.mu.RLock()
	found := p.byAddr[addr]
	p.mu.RUnlock()
	if found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if found = p.byAddr[addr]; found == nil {
		found = newPool(addr, p.kind, p.config(addr), p.metrics)
		p.byAddr[addr] = found
	}
	return found
}

// config returns the TLS configuration for an address. If the configuration has no server
// name, the certificate is verified against the host of the address.
func (p *pools) config(addr string) *tls.Config {
	if p.tls == nil || p.tls.ServerName != "" || p.tls.InsecureSkipVerify {
		return p.tls
	}
	cfg := p.tls.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(addr)
	return cfg
}

func (p *pools) run() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-tick.C:
			p.sweep(now)
		}
	}
}

// sweep sweeps all pools and removes the unused ones. The map is not locked during the sweep,
// because every call needs it.
func (p *pools) sweep(now time.Time) {
	p.mu.RLock()
	all := slices.Collect(maps.Values(p.byAddr))
	p.mu.RUnlock()
	for _, one := range all {
		one.sweep(now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.byAddr, func(_ string, one *pool) bool { return one.unused() })
}

func (p *pools) close() {
	p.once.Do(func() { close(p.stop) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.byAddr {
		one.close()
	}
}
