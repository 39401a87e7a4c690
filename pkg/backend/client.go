package backend

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/netconn"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// DecodeNotice decodes what a server says of itself in the headers of a response.
type DecodeNotice func(http.Header) (call.ServerNotice, error)

// Options configures a Client.
type Options struct {
	// Address is the server's address of the form IP:port.
	Address string
	// Headers holds the header names of the deployment.
	Headers call.Headers
	// Notice decodes server notices.
	Notice DecodeNotice
	// Bodies limits the memory of the response bodies that are received at the same time.
	Bodies  *boundedio.Budget
	Metrics *Metrics
	// Broken is called when the server has broken a connection and no other one shows that the
	// server is still the same process. It must not block; nil means that nobody asks.
	Broken func()
}

// Client sends requests to one server address. It is safe for concurrent use; mu
// guards the fields below it.
type Client struct {
	opts Options

	mu     sync.Mutex
	idle   []*connection // the most recently used last
	opened int
	// open holds the connections that are not closed, idle or not. A connection of an earlier
	// epoch led to a server that is known to be replaced. mu also guards the field reported of
	// the connections.
	open  map[*connection]struct{}
	epoch int
}

// NewClient returns a client with the given options, all of which are required.
func NewClient(opts Options) *Client {
	return &Client{opts: opts, open: make(map[*connection]struct{})}
}

// Do sends the request to the server and returns the outcome. The request names the
// instance that must run it. Once connected, Do waits for the response until shortly after
// the request's deadline; when the context ends, it closes the connection. If no
// connection can be opened, the request has not run; if no complete response arrives, it
// is unknown whether the request ran.
func (c *Client) Do(ctx context.Context, req *call.Request, instance string) call.Response {
	// Many requests may have been queued since there was room for their responses.
	if !c.opts.Bodies.Whole().HasRoom(len(req.Body)) {
		return call.Refused(reason.Memory, memoryRetryAfter)
	}
	conn, err := c.acquire(ctx, req)
	if err != nil {
		return call.Response{Refusal: reason.UpstreamConnect, Ran: reason.RanNo}
	}
	return c.exchange(ctx, conn, req, instance)
}

// Opened returns the number of connections opened since the client was created.
func (c *Client) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Close closes the idle connections. The server is known to be another one from now on: the end of
// the connections in use says nothing about it.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.epoch++
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// acquire returns an idle connection that has not carried a request with the same id, or opens
// one.
func (c *Client) acquire(ctx context.Context, req *call.Request) (*connection, error) {
	conn, repeated := c.takeUsable(req.ID, req.Kind)
	if repeated {
		c.opts.Metrics.idRepeated(req.ID)
	}
	if conn != nil {
		return conn, nil
	}
	if repeated {
		c.closeSurplus()
	}
	return c.dial(ctx)
}

// closeSurplus closes the least recently used idle connection if there are maxPassedOver, so that
// a new one does not let their number grow with each repetition of an id.
func (c *Client) closeSurplus() {
	c.mu.Lock()
	var surplus *connection
	if len(c.idle) >= maxPassedOver {
		surplus = c.idle[0]
		c.idle = slices.Delete(c.idle, 0, 1)
	}
	c.mu.Unlock()
	if surplus != nil {
		_ = surplus.Close()
	}
}

// takeUsable removes connections from the pool that have not carried the id, the most recently
// used first, until one is usable, and closes the others. It returns nil if none is. It also
// reports whether a connection was passed over because it has carried the id.
func (c *Client) takeUsable(id string, kind routing.Kind) (conn *connection, repeated bool) {
	now := time.Now()
	for {
		conn, passedOver := c.take(id)
		repeated = repeated || passedOver
		if conn == nil || conn.usable(now, kind) {
			return conn, repeated
		}
		if conn.lostEarly(now) {
			c.broken(conn)
		}
		_ = conn.Close()
	}
}

// take removes the most recently used idle connection that has not carried the id from the
// pool. It returns nil if there is none, and whether a connection was passed over.
func (c *Client) take(id string) (conn *connection, passedOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, conn := range slices.Backward(c.idle) {
		if conn.ids.contains(id) {
			passedOver = true
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		return conn, passedOver
	}
	return nil, passedOver
}

func (c *Client) put(conn *connection) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

func (c *Client) dial(ctx context.Context) (*connection, error) {
	inner, err := netconn.Dial(ctx, c.opts.Address)
	if err != nil {
		return nil, err
	}
	conn := newConnection(inner, c.opts.Headers)
	conn.openedAt = time.Now()
	conn.closed = func() { c.forget(conn) }
	c.mu.Lock()
	c.opened++
	c.open[conn] = struct{}{}
	conn.epoch = c.epoch
	c.mu.Unlock()
	c.opts.Metrics.opened.Inc()
	return conn, nil
}

func (c *Client) forget(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// encode returns the encoded request line and headers, including the empty line.
func (c *Client) encode(req *call.Request, instance string, now time.Time) []byte {
	left := max(req.Deadline.Sub(now).Milliseconds(), 1)
	out := make([]byte, 0, len(req.Head)+len(req.Body)+160)
	out = append(out, req.Head...)
	out = append(out, c.opts.Headers.Deadline...)
	out = append(out, ": "...)
	out = strconv.AppendInt(out, left, 10)
	out = append(out, "\r\n"...)
	out = append(out, c.opts.Headers.ExpectInstance...)
	out = append(out, ": "...)
	out = append(out, instance...)
	out = append(out, "\r\n\r\n"...)
	return out
}
