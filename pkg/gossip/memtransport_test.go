package gossip

import (
	"context"
	"errors"
	"sync"
	"time"
)

// memNet is an in-memory network between the agents of one test. Messages arrive after
// delay; those for which cut returns true are lost.
type memNet struct {
	mu    sync.Mutex
	nodes map[string]*memTransport
	delay time.Duration
	cut   func(from, to string) bool
}

func newMemNet() *memNet {
	return &memNet{nodes: map[string]*memTransport{}, delay: time.Millisecond, cut: func(string, string) bool { return false }}
}

func (n *memNet) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// route returns the transport of a message's receiver, or nil if the message is lost.
func (n *memNet) route(from, to string) *memTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut(from, to) {
		return nil
	}
	return n.nodes[to]
}

type memTransport struct {
	net    *memNet
	addr   string
	mu     sync.Mutex
	handle func([]byte, func([]byte) error)
}

func (n *memNet) transport(addr string) *memTransport { return &memTransport{net: n, addr: addr} }

func (t *memTransport) handler() func([]byte, func([]byte) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handle
}

func (t *memTransport) Send(addr string, payload []byte) bool {
	time.AfterFunc(t.net.delay, func() {
		if to := t.net.route(t.addr, addr); to != nil {
			if h := to.handler(); h != nil {
				h(payload, nil)
			}
		}
	})
	return true
}

func (t *memTransport) Request(ctx context.Context, addr string, payload []byte) ([]byte, error) {
	response := make(chan []byte, 1)
	time.AfterFunc(t.net.delay, func() {
		if to := t.net.route(t.addr, addr); to != nil {
			if h := to.handler(); h != nil {
				h(payload, func(a []byte) error { response <- a; return nil })
			}
		}
	})
	select {
	case a := <-response:
		return a, nil
	case <-time.After(time.Second):
		return nil, errors.New("no response to the request within 1 s")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *memTransport) Run(ctx context.Context, handle func([]byte, func([]byte) error)) error {
	t.mu.Lock()
	t.handle = handle
	t.mu.Unlock()
	t.net.mu.Lock()
	t.net.nodes[t.addr] = t
	t.net.mu.Unlock()
	<-ctx.Done()
	t.net.mu.Lock()
	if t.net.nodes[t.addr] == t {
		delete(t.net.nodes, t.addr)
	}
	t.net.mu.Unlock()
	t.mu.Lock()
	t.handle = nil
	t.mu.Unlock()
	return ctx.Err()
}
