package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the bytes that pass it.
type Mode int

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay holds each block of bytes back.
	Delay
	// SilenceThere drops the bytes from the dialing side, as a cut in one direction.
	SilenceThere
	// SilenceBack drops the bytes towards the dialing side.
	SilenceBack
	// Silence drops the bytes of both directions and accepts no new connection.
	Silence
)

// blockDelay is how long Delay holds a block back.
const blockDelay = 30 * time.Millisecond

// Proxy passes the TCP connections of one pair of processes on. mu guards the state.
// A connection that has dropped bytes stays silent, since its stream has a gap.
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

// Set changes the mode of open and of new connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset ends all open connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // the close below is what counts
		_ = c.Close()
	}
}

// Close ends the proxy.
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

func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	for p.current() == Silence {
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
	wg.Go(func() { p.pipe(far, near, SilenceThere) })
	wg.Go(func() { p.pipe(near, far, SilenceBack) })
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

// pipe copies one direction; silent is the mode that drops it.
func (p *Proxy) pipe(to, from net.Conn, silent Mode) {
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		mode := p.current()
		if mode == Delay {
			time.Sleep(blockDelay)
		}
		dropped = dropped || mode == silent || mode == Silence
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
