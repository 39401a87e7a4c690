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
	nodes map[string]*memLink
	delay time.Duration
	cut   func(from, to string) bool
}

func newMemNet() *memNet {
	return &memNet{nodes: map[string]*memLink{}, delay: time.Millisecond, cut: func(string, string) bool { return false }}
}

func (n *memNet) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// route returns the link of a message's receiver, or nil if the message is lost.
func (n *memNet) route(from, to string) *memLink {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut(from, to) {
		return nil
	}
	return n.nodes[to]
}

type memLink struct {
	net    *memNet
	addr   string
	mu     sync.Mutex
	handle func([]byte, func([]byte) error)
}

func (n *memNet) link(addr string) *memLink { return &memLink{net: n, addr: addr} }

func (l *memLink) handler() func([]byte, func([]byte) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handle
}

func (l *memLink) Send(addr string, payload []byte) bool {
	time.AfterFunc(l.net.delay, func() {
		if to := l.net.route(l.addr, addr); to != nil {
			if h := to.handler(); h != nil {
				h(payload, nil)
			}
		}
	})
	return true
}

func (l *memLink) Request(ctx context.Context, addr string, payload []byte) ([]byte, error) {
	answer := make(chan []byte, 1)
	time.AfterFunc(l.net.delay, func() {
		if to := l.net.route(l.addr, addr); to != nil {
			if h := to.handler(); h != nil {
				h(payload, func(a []byte) error { answer <- a; return nil })
			}
		}
	})
	select {
	case a := <-answer:
		return a, nil
	case <-time.After(time.Second):
		return nil, errors.New("no response to the request within 1 s")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memLink) Run(ctx context.Context, handle func([]byte, func([]byte) error)) error {
	l.mu.Lock()
	l.handle = handle
	l.mu.Unlock()
	l.net.mu.Lock()
	l.net.nodes[l.addr] = l
	l.net.mu.Unlock()
	<-ctx.Done()
	l.net.mu.Lock()
	if l.net.nodes[l.addr] == l {
		delete(l.net.nodes, l.addr)
	}
	l.net.mu.Unlock()
	l.mu.Lock()
	l.handle = nil
	l.mu.Unlock()
	return ctx.Err()
}
