package sidecar

import "sync"

// startGate holds what a starting node must not act on before it knows the rows that earlier
// processes and the operator wrote. It is safe for concurrent use; mu guards the fields.
type startGate struct {
	mu   sync.Mutex
	open bool
	held map[string]func()
}

// do calls f at once if the gate is open. Otherwise it is called by release, unless a later
// call with the same key replaces it.
func (g *startGate) do(key string, f func()) {
	g.mu.Lock()
	if !g.open {
		if g.held == nil {
			g.held = make(map[string]func())
		}
		g.held[key] = f
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	f()
}

// release opens the gate and calls what it held.
func (g *startGate) release() {
	g.mu.Lock()
	held := g.held
	g.open, g.held = true, nil
	g.mu.Unlock()
	for _, f := range held {
		f()
	}
}
