package peer

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"
)

// ErrClosed is returned by calls on a link that has ended.
var ErrClosed = errors.New("peer: the link is closed; open a new one")

// Transport sends messages to peers and receives theirs. All methods may be called from
// any goroutine.
type Transport struct {
	opts      Options
	transport *quic.Transport
	listener  *quic.Listener
	metrics   *metrics
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu     sync.Mutex // owns the fields below
	open   map[*conn]struct{}
	byAddr map[string]*conn
	dials  map[string]*dial
	queues map[string]*queue
	closed Stats // totals of closed connections

	handle func(payload []byte, reply func([]byte) error)
	ready  chan struct{} // closed when handle is set
}

// New opens the UDP socket of a link. Messages are received once Run runs.
func New(opts Options) (*Transport, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", opts.Addr)
	if err != nil {
		return nil, fmt.Errorf("peer: address %q is not a UDP address; use host:port: %w", opts.Addr, err)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("peer: cannot listen on %s; choose a free port: %w", opts.Addr, err)
	}
	l := &Transport{
		opts: opts, open: map[*conn]struct{}{}, byAddr: map[string]*conn{},
		dials: map[string]*dial{}, queues: map[string]*queue{}, ready: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.metrics = newMetrics(l, opts.Registerer)
	var key quic.StatelessResetKey
	_, _ = rand.Read(key[:])
	l.transport = &quic.Transport{Conn: socket, StatelessResetKey: &key}
	l.listener, err = l.transport.Listen(l.serverTLS(), quicConfig())
	if err != nil {
		l.cancel()
		_ = socket.Close()
		return nil, fmt.Errorf("peer: cannot accept connections; check the key files: %w", err)
	}
	return l, nil
}

// Addr is the UDP address of the link.
func (l *Transport) Addr() string { return l.transport.Conn.LocalAddr().String() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: DialTimeout, MaxIdleTimeout: IdleTimeout, EnableDatagrams: true,
		InitialStreamReceiveWindow: StreamWindowBytes, MaxStreamReceiveWindow: StreamWindowBytes,
		InitialConnectionReceiveWindow: ConnectionWindowBytes, MaxConnectionReceiveWindow: ConnectionWindowBytes,
		MaxIncomingStreams: MaxStreams, MaxIncomingUniStreams: MaxStreams,
		// Control messages are small; probing for a larger packet size costs each
		// connection several full packets.
		DisablePathMTUDiscovery: true,
	}
}

// serverTLS requires and verifies client certificates and reads the keys for each connection.
func (l *Transport) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := l.opts.TLS().Clone()
			c.MinVersion, c.NextProtos = tls.VersionTLS13, []string{Protocol}
			c.ClientAuth = tls.RequireAndVerifyClientCert
			c.GetConfigForClient = nil
			return c, nil
		},
	}
}

func (l *Transport) clientTLS() *tls.Config {
	c := l.opts.TLS().Clone()
	c.MinVersion, c.NextProtos, c.InsecureSkipVerify = tls.VersionTLS13, []string{Protocol}, false
	return c
}

// Run passes incoming messages to handle until ctx ends, and then closes the link. It
// is called once.
func (l *Transport) Run(ctx context.Context, handle func(payload []byte, reply func([]byte) error)) error {
	l.handle = handle
	close(l.ready)
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.accept(gctx) })
	err := g.Wait()
	l.Close()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Close closes all connections and the socket, and waits for the link's goroutines.
func (l *Transport) Close() {
	l.cancel()
	l.mu.Lock()
	for c := range l.open {
		_ = c.quic.CloseWithError(0, "closing")
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.transport.Conn.Close()
	l.tasks.Wait()
}

// spawn runs a task that Close waits for. It reports false if the link is closed.
func (l *Transport) spawn(task func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.tasks.Go(task)
	return true
}

func (l *Transport) accept(ctx context.Context) error {
	for {
		q, err := l.listener.Accept(ctx)
		if err != nil {
			return err
		}
		if l.Stats().Connections >= MaxConnections {
			l.metrics.connection("refused")
			_ = q.CloseWithError(1, "too many connections")
			continue
		}
		l.metrics.connection("accepted")
		l.add(q, q.RemoteAddr().String())
	}
}

// add registers a connection and starts its readers. The newest connection to an
// address is used for sending: an older one may belong to an earlier process there.
func (l *Transport) add(q *quic.Conn, addr string) *conn {
	c := &conn{quic: q, addr: addr}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.byAddr[addr] = c
	l.mu.Unlock()
	started := l.spawn(func() { l.readDatagrams(c) }) &&
		l.spawn(func() { l.readStreams(c) }) &&
		l.spawn(func() { l.readRequests(c) }) &&
		l.spawn(func() {
			<-q.Context().Done()
			l.remove(c)
		})
	if !started {
		_ = q.CloseWithError(0, "closing")
		l.remove(c)
	}
	return c
}

func (l *Transport) remove(c *conn) {
	stats := c.quic.ConnectionStats()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	if l.byAddr[c.addr] == c {
		delete(l.byAddr, c.addr)
	}
	l.closed.BytesSent += stats.BytesSent
	l.closed.BytesReceived += stats.BytesReceived
	l.metrics.connection("closed")
}

// current returns the open connection to an address, if there is one that is not
// silent.
func (l *Transport) current(addr string) *conn {
	l.mu.Lock()
	c := l.byAddr[addr]
	l.mu.Unlock()
	if c == nil || !c.alive() {
		return nil
	}
	if c.silent(time.Now()) {
		l.metrics.connection("silent")
		l.mu.Lock()
		if l.byAddr[addr] == c {
			delete(l.byAddr, addr)
		}
		l.mu.Unlock()
		_ = c.quic.CloseWithError(2, "silent")
		return nil
	}
	return c
}
