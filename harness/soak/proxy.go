package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats the bytes that it forwards.
type Mode int

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay delays each block of bytes by blockDelay.
	Delay
	// DropToTarget drops the bytes sent to the target, like a one-way partition.
	DropToTarget
	// DropToDialer drops the bytes sent to the dialing side.
	DropToDialer
	// DropBoth drops the bytes of both directions and doesn't connect new connections
	// to the target.
	DropBoth
	// ResetToDialer resets the connection instead of forwarding one of resetOneIn blocks of
	// bytes sent to the dialing side.
	ResetToDialer
)

const (
	blockDelay = 30 * time.Millisecond // how long Delay delays each block of bytes
	resetOneIn = 3                     // blocks
)

// Proxy forwards the TCP connections from one process to another. mu guards the state.
// A direction of a connection that has dropped bytes forwards nothing more, since its
// stream has a gap.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy listens on an IP address for connections to the target.
func NewProxy(ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address to dial.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset closes all open connections with a TCP reset, except those that wait in DropBoth
// and are not yet connected to the target.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // an error is ignored: Close ends the connection in any case
	_ = c.Close()
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

// serve forwards one connection: near is that of the dialing side, far that to the target.
func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	for p.current() == DropBoth {
		time.Sleep(blockDelay)
	}
	far, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	defer far.Close()
	p.track(near, far, true)
	defer p.track(near, far, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(far, near, DropToTarget) })
	wg.Go(func() { p.pipe(near, far, DropToDialer) })
	wg.Wait()
}

func (p *Proxy) track(near, far net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{near, far} {
		if add {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// pipe copies one direction; dropMode is the mode, besides DropBoth, that drops its
// bytes.
func (p *Proxy) pipe(to, from net.Conn, dropMode Mode) {
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		mode := p.current()
		if mode == Delay {
			time.Sleep(blockDelay)
		}
		if mode == ResetToDialer && dropMode == DropToDialer && n > 0 && rand.N(resetOneIn) == 0 {
			reset(to)
			reset(from)
			return
		}
		dropped = dropped || mode == dropMode || mode == DropBoth
		if n > 0 && !dropped {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil && !dropped {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.Close()
			}
		}
		if err != nil {
			return
		}
	}
}
