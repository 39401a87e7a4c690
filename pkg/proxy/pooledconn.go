package proxy

import (
	"bufio"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/framing"
)

// errHeaderTooLarge reports a response whose headers exceed their bound.
var errHeaderTooLarge = errors.New("the response headers are too large")

// pooledConn is a pooled connection. One exchange owns it at a time; the atomic fields may be
// used from any goroutine.
type pooledConn struct {
	net.Conn
	tcp net.Conn // the TCP connection below TLS, for the liveness check and closeNow
	br  *framing.Reader
	bw  *bufio.Writer

	toNode    bool   // the server is a node, which repeats HeaderExchange
	exchanges uint64 // exchanges begun with a node
	// unsolicited is set once bytes of the server were found while no exchange used the connection.
	unsolicited bool

	opened    time.Time
	idleSince time.Time // end of the last complete exchange
	reused    bool
	use       restSchedule

	maxHeader    int64        // bound of response headers in bytes
	headerLeft   int64        // response header bytes that may still be read
	received     atomic.Int64 // bytes read in this exchange
	sent         atomic.Int64 // bytes written in this exchange
	writeStarted atomic.Bool  // a write was started in this exchange
	notReusable  atomic.Bool  // must not be reused
}

func newPooledConn(conn, tcp net.Conn, toNode bool) *pooledConn {
	c := &pooledConn{Conn: conn, tcp: tcp, toNode: toNode, opened: time.Now(), maxHeader: MaxHeaderBytes}
	if toNode {
		c.maxHeader += peerHeaderSlack
	}
	c.use.since = c.opened
	c.br = framing.NewReader(c, 4<<10, c.idHeader())
	c.bw = bufio.NewWriterSize(c, 8<<10)
	return c
}

// begin prepares the connection for an exchange.
func (c *pooledConn) begin() {
	c.headerLeft = c.maxHeader
	c.received.Store(0)
	c.sent.Store(0)
	c.writeStarted.Store(false)
}

// idHeader returns the header by which a response of the server may name its exchange.
func (c *pooledConn) idHeader() string {
	if c.toNode {
		return HeaderExchange
	}
	return HeaderCallID
}

// identify returns the id of a new exchange and adds it to a request to a node.
func (c *pooledConn) identify(request http.Header) exchangeID {
	if !c.toNode {
		return exchangeID{c.idHeader(), request.Get(HeaderCallID)}
	}
	c.exchanges++
	id := exchangeID{c.idHeader(), strconv.FormatUint(c.exchanges, 10)}
	setHeader(request, id.header, id.value)
	return id
}

// LimitWait implements framing.Conn. No other read deadline is in force while a body is read.
func (c *pooledConn) LimitWait(d time.Duration) (restore func()) {
	_ = c.SetReadDeadline(time.Now().Add(d)) // fails only if the connection has ended
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}

func (c *pooledConn) headersDone() { c.headerLeft = math.MaxInt64 }

func (c *pooledConn) Read(p []byte) (int, error) {
	if c.headerLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headerLeft -= int64(n)
	c.received.Add(int64(n))
	return n, err
}

func (c *pooledConn) Write(p []byte) (int, error) {
	c.writeStarted.Store(true)
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
