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

// ErrClosed is returned by methods of a closed transport.
var ErrClosed = errors.New("peer: the transport is closed; open a new one")

// Transport sends messages to peers and receives theirs. All methods may be called from
// any goroutine.
type Transport struct {
	opts          Options
	quicTransport *quic.Transport
	listener      *quic.Listener
	metrics       *metrics
	ctx           context.Context
	cancel        context.CancelFunc
	tasks         sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	conns       map[*conn]struct{}
	byAddr      map[string]*conn
	dials       map[string]*dial
	queues      map[string]*queue
	closedStats Stats // byte totals of closed connections

	handle func(payload []byte, reply func([]byte) error)
	ready  chan struct{} // closed when handle is set
}

// New opens the UDP socket of a transport. Incoming messages are handled once Run runs.
func New(opts Options) (*Transport, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", opts.Addr)
	if err != nil {
		return nil, fmt.Errorf("peer: address %q is not a UDP address; use host:port: %w", opts.Addr, err)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("peer: cannot listen on %s; choose a free port: %w", opts.Addr, err)
	}
	t := &Transport{
		opts: opts, conns: map[*conn]struct{}{}, byAddr: map[string]*conn{},
		dials: map[string]*dial{}, queues: map[string]*queue{}, ready: make(chan struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.metrics = newMetrics(t, opts.Registerer)
	var key quic.StatelessResetKey
	_, _ = rand.Read(key[:])
	t.quicTransport = &quic.Transport{Conn: socket, StatelessResetKey: &key}
	t.listener, err = t.quicTransport.Listen(t.serverTLS(), quicConfig())
	if err != nil {
		t.cancel()
		_ = socket.Close()
		return nil, fmt.Errorf("peer: cannot start the QUIC listener; check the key files: %w", err)
	}
	return t, nil
}

// Addr returns the local UDP address of the transport.
func (t *Transport) Addr() string { return t.quicTransport.Conn.LocalAddr().String() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: DialTimeout, MaxIdleTimeout: IdleTimeout, EnableDatagrams: true,
		InitialStreamReceiveWindow: StreamWindowBytes, MaxStreamReceiveWindow: StreamWindowBytes,
		InitialConnectionReceiveWindow: ConnectionWindowBytes, MaxConnectionReceiveWindow: ConnectionWindowBytes,
		MaxIncomingStreams: MaxStreams, MaxIncomingUniStreams: MaxStreams,
		// Control messages are small, and probing for a larger packet size would cost
		// each connection several full packets.
		DisablePathMTUDiscovery: true,
	}
}

// serverTLS returns a configuration that requires and verifies client certificates and
// calls Options.TLS for each connection.
func (t *Transport) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := t.opts.TLS().Clone()
			c.MinVersion, c.NextProtos = tls.VersionTLS13, []string{Protocol}
			c.ClientAuth = tls.RequireAndVerifyClientCert
			c.GetConfigForClient = nil
			return c, nil
		},
	}
}

func (t *Transport) clientTLS() *tls.Config {
	c := t.opts.TLS().Clone()
	c.MinVersion, c.NextProtos, c.InsecureSkipVerify = tls.VersionTLS13, []string{Protocol}, false
	return c
}

// Run passes incoming messages to handle until ctx ends or the transport is closed, and
// then closes the transport. handle is called from several goroutines concurrently; its
// reply is nil except for requests. Run returns the error of ctx or of the listener. It must
// be called only once.
func (t *Transport) Run(ctx context.Context, handle func(payload []byte, reply func([]byte) error)) error {
	t.handle = handle
	close(t.ready)
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.accept(gctx) })
	err := g.Wait()
	t.Close()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Close closes all connections and the socket, and waits until the transport's
// goroutines have ended.
func (t *Transport) Close() {
	t.cancel()
	t.mu.Lock()
	for c := range t.conns {
		_ = c.quic.CloseWithError(0, "closing")
	}
	t.mu.Unlock()
	_ = t.listener.Close()
	_ = t.quicTransport.Close()
	_ = t.quicTransport.Conn.Close()
	t.tasks.Wait()
}

// spawn runs a task in a goroutine for which Close waits. It reports false if the
// transport is closed.
func (t *Transport) spawn(task func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.tasks.Go(task)
	return true
}

func (t *Transport) accept(ctx context.Context) error {
	for {
		q, err := t.listener.Accept(ctx)
		if err != nil {
			return err
		}
		if t.Stats().Connections >= MaxConnections {
			t.metrics.connection("refused")
			_ = q.CloseWithError(1, "too many connections")
			continue
		}
		t.metrics.connection("accepted")
		t.add(q, q.RemoteAddr().String())
	}
}

// add registers a connection and starts its readers. The newest connection to an
// address is used for sending: an older one may belong to an earlier process there.
func (t *Transport) add(q *quic.Conn, addr string) *conn {
	c := &conn{quic: q, addr: addr}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.byAddr[addr] = c
	t.mu.Unlock()
	started := t.spawn(func() { t.readDatagrams(c) }) &&
		t.spawn(func() { t.readStreams(c) }) &&
		t.spawn(func() { t.readRequests(c) }) &&
		t.spawn(func() {
			<-q.Context().Done()
			t.remove(c)
		})
	if !started {
		_ = q.CloseWithError(0, "closing")
		t.remove(c)
	}
	return c
}

func (t *Transport) remove(c *conn) {
	stats := c.quic.ConnectionStats()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; !ok {
		return
	}
	delete(t.conns, c)
	if t.byAddr[c.addr] == c {
		delete(t.byAddr, c.addr)
	}
	t.closedStats.BytesSent += stats.BytesSent
	t.closedStats.BytesReceived += stats.BytesReceived
	t.metrics.connection("closed")
}

// current returns the open connection to an address, or nil if there is none. It closes a
// connection on which the peer does not respond, and returns nil.
func (t *Transport) current(addr string) *conn {
	t.mu.Lock()
	c := t.byAddr[addr]
	t.mu.Unlock()
	if c == nil || !c.alive() {
		return nil
	}
	if c.unresponsive(time.Now()) {
		t.metrics.connection("silent")
		t.mu.Lock()
		if t.byAddr[addr] == c {
			delete(t.byAddr, addr)
		}
		t.mu.Unlock()
		_ = c.quic.CloseWithError(2, "silent")
		return nil
	}
	return c
}
