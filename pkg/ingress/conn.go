package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// conn is one client connection. One goroutine reads requests, one writes the responses
// in order, and each request is handled in its own goroutine. mu guards the state that
// decides whether a response may close the connection.
type conn struct {
	server *Server
	inner  net.Conn
	input  *boundedio.LimitedReader
	reader *bufio.Reader
	order  chan *exchange
	// holder counts the memory that is held for the connection, base its fixed cost.
	holder *boundedio.Holder
	base   boundedio.Hold
	// sending tells that the client is being sent something, which may wait for it to read.
	sending atomic.Bool
	// written has a value after a response was written.
	written chan struct{}

	mu        sync.Mutex
	receiving bool // the first byte of a request was read, and not yet all of it
	stopped   bool // no more of a request is received
	served    bool // a response was written
	pending   int  // requests that were read and whose response is not being written yet
	writing   bool // a response is being written
	closed    bool // no further request is accepted
}

// exchange is one request and its response.
type exchange struct {
	interim    bool           // asks for the body of the next request; it has no response
	req        *Request       // used by the handler only
	method     string         // of the request
	head, body boundedio.Hold // the memory of the request; released with the response
	response   boundedio.Hold // the memory of the response; released once it is written
	done       chan Response
	closeAfter bool // the client asked to close the connection after the response
}

func newConn(s *Server, inner net.Conn) *conn {
	head := boundedio.NewLimitedReader(inner)
	c := &conn{
		server: s, inner: inner, input: head, reader: acquireReader(head),
		order: make(chan *exchange, maxPipelined), written: make(chan struct{}, 1),
	}
	c.holder = s.memory.NewHolderFor(boundedio.Owner{Kind: holderKind, Conn: inner}, minStall, c.evict)
	c.base = s.memory.HoldFor(c.holder)
	c.base.Force(connectionCost)
	return c
}

// release gives back what the connection holds when it has ended.
func (c *conn) release() {
	releaseReader(c.reader)
	c.base.Release()
	c.server.memory.Remove(c.holder)
}

func (c *conn) run(ctx context.Context) {
	defer c.release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { c.write(ctx) })
	disconnected := c.readContained(ctx)
	close(c.order)
	if disconnected {
		cancel() // cancels the requests of the client
	}
	writer.Wait()
	if c.isClosed() {
		// Closing with unread bytes would reset the connection, and the client could lose
		// the response.
		_ = c.inner.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.inner)
	}
	_ = c.inner.Close()
}

// readContained is read; a panic counts as a disconnect.
func (c *conn) readContained(ctx context.Context) (disconnected bool) {
	defer contain.Recover(contain.ClientConnection, func(error) {
		c.endReceiving()
		disconnected = true
	})
	return c.read(ctx)
}

// read reads requests and starts their handlers until the connection ends. It reports
// whether the client disconnected before it received its responses, or was idle for too
// long, when there are no requests to cancel.
func (c *conn) read(ctx context.Context) bool {
	for {
		c.awaitTurn()
		limits := c.server.limits()
		if err := c.awaitRequest(limits.IdleTimeout); err != nil {
			return !c.isClosed() || errors.Is(err, io.EOF)
		}
		if !c.beginReceiving(limits.HeaderTimeout) {
			return false // closed while idle; the request is dropped
		}
		e := c.newExchange()
		req, last, err := c.readRequest(limits, e)
		if err != nil {
			e.releaseRequest()
			return c.reject(err)
		}
		e.req, e.method, e.closeAfter = req, req.Method, last
		if !c.beginRequest() {
			e.releaseRequest()
			return false // the connection is closing; the request is dropped
		}
		go c.handle(ctx, e)
		c.order <- e
		if last {
			return c.awaitDisconnect()
		}
	}
}

func (c *conn) newExchange() *exchange {
	return &exchange{
		head: c.server.memory.HoldFor(c.holder), body: c.server.bodies.HoldFor(c.holder), response: c.server.memory.HoldFor(c.holder),
		done: make(chan Response, 1),
	}
}

// releaseRequest gives back the memory of the request.
func (e *exchange) releaseRequest() {
	e.req = nil
	e.head.Release()
	e.body.Release()
}

// handle runs the handler of one request. If it panics, the client can't know whether the
// request has run.
func (c *conn) handle(ctx context.Context, e *exchange) {
	var res Response
	defer func() {
		e.releaseRequest()
		e.done <- res
	}()
	defer contain.Recover(contain.ClientRequest, func(error) {
		res = Response{Status: http.StatusBadGateway, Close: true}
	})
	res = c.server.handler.Serve(ctx, e.req)
	e.response.Force(len(res.Head) + len(res.Body))
}

// awaitTurn waits until the next request may be read: as long as responses are due, a connection
// holds no more than maxAhead bytes, and one request if memory is scarce.
func (c *conn) awaitTurn() {
	for c.isAhead() {
		<-c.written
	}
}

func (c *conn) isAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.pending > 0 || c.writing
	return due && (c.holder.Held() > maxAhead || c.server.memory.Scarce())
}

// awaitDisconnect waits for the end of a connection on which no further request is expected.
// It reports whether the client disconnected before it received its responses.
func (c *conn) awaitDisconnect() bool {
	for {
		_ = c.inner.SetReadDeadline(time.Now().Add(writeTimeout))
		_, err := c.reader.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err != nil
		}
		if c.isClosed() {
			return false
		}
	}
}

// readRequest reads one request with its complete body, whose memory it adds to the holds of e. It
// also reports whether the connection is to be closed after the response.
func (c *conn) readRequest(limits routing.Limits, e *exchange) (*Request, bool, error) {
	// The reader also buffers up to readBuffer bytes that follow the header.
	c.input.Limit(limits.MaxHeaderBytes + readBuffer)
	c.input.Charge(&e.head)
	r, err := http.ReadRequest(c.reader)
	if failed := c.input.Err(); err != nil && (errors.Is(failed, os.ErrDeadlineExceeded) || errors.Is(failed, boundedio.ErrBudgetExhausted)) {
		err = failed
	}
	if err != nil {
		return nil, false, err
	}
	received := time.Now()
	c.input.Limit(0)
	e.head.Settle(requestCost + headerCost(r.Header))
	if r.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, false, boundedio.ErrBodyTooLarge
	}
	req := &Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Path: r.URL.EscapedPath(),
		Header: r.Header, Received: received, holder: c.holder,
	}
	if r.Body != nil && r.Body != http.NoBody {
		if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
			c.order <- &exchange{interim: true}
		}
		c.receiveFor(bodyTimeout)
		if req.Body, err = readBody(r, limits.MaxBodyBytes, &e.body); err != nil {
			return nil, false, err
		}
	}
	req.Held = e.head.Held() + e.body.Held()
	return req, r.Close || !r.ProtoAtLeast(1, 1), nil
}

// headerCost returns what the heap holds for a header, with the encoded form that is sent to a server.
func headerCost(header http.Header) int {
	cost := 0
	for name, values := range header {
		for _, value := range values {
			cost += boundedio.FieldCost + 2*(len(name)+len(value))
		}
	}
	return cost
}

func readBody(r *http.Request, limit int, hold *boundedio.Hold) ([]byte, error) {
	body, err := hold.ReadAll(io.LimitReader(r.Body, int64(limit)+1), r.ContentLength)
	if err == nil && len(body) > limit {
		return nil, boundedio.ErrBodyTooLarge
	}
	return body, err
}

// reject sends an error response to a request that can't be read, as the last one of the
// connection. It reports whether the client has disconnected instead.
func (c *conn) reject(err error) bool {
	status, head := http.StatusBadRequest, []byte(nil)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err) && !errors.Is(err, os.ErrDeadlineExceeded):
		c.endReceiving()
		return true // the client disconnected while it sent the request
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.closing.Load():
		status, head = http.StatusServiceUnavailable, []byte("Retry-After: "+closingRetryAfter+"\r\n")
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, boundedio.ErrBudgetExhausted):
		status, head = http.StatusServiceUnavailable, []byte("Retry-After: "+memoryRetryAfter+"\r\n")
	case errors.Is(err, boundedio.ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, boundedio.ErrHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	c.server.handler.Malformed(c.inner.RemoteAddr().String(), err)
	if !c.beginRequest() {
		return false
	}
	e := c.newExchange()
	e.method, e.closeAfter = http.MethodGet, true
	e.done <- Response{Status: status, Head: head, Close: true}
	c.order <- e
	return false
}

// isNetError reports whether the connection failed. A *url.Error is a net.Error too, but tells of a
// malformed request target.
func isNetError(err error) bool {
	var netErr net.Error
	var target *url.Error
	return errors.As(err, &netErr) && !errors.As(err, &target)
}

// beginReceiving marks that a request is being received, whose header must arrive within the
// timeout, and counts it for the server. It returns false if the connection is closing.
func (c *conn) beginReceiving(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	now := time.Now()
	c.holder.ProgressAt(now)
	_ = c.inner.SetReadDeadline(now.Add(timeout))
	c.receiving = true
	c.server.pending.Add(1)
	return true
}

// receiveFor sets the time within which the rest of a request must arrive.
func (c *conn) receiveFor(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		_ = c.inner.SetReadDeadline(time.Now().Add(timeout))
	}
}

// endReceiving ends a request that was not received completely and gets no response.
func (c *conn) endReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		c.receiving = false
		c.server.pending.Add(-1)
	}
}

// beginRequest counts a request that was received as pending. It returns false if the
// connection is closing.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.closed {
		c.server.pending.Add(-1)
		return false
	}
	c.pending++
	return true
}

// endRequest counts a response as being written and reports whether the connection is to
// be closed after it: if wanted is set and no further request is pending. Otherwise wanted
// is not remembered.
func (c *conn) endRequest(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.writing = true
	if wanted && c.pending == 0 {
		c.closed = true
	}
	return c.closed && c.pending == 0
}

// endWrite records that a response was written.
func (c *conn) endWrite() {
	c.mu.Lock()
	c.writing, c.served = false, true
	c.mu.Unlock()
	select {
	case c.written <- struct{}{}:
	default:
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.receiving {
		c.closed = true
		_ = c.inner.SetReadDeadline(time.Unix(1, 0))
	}
}

// stopReceiving ends the receipt of a request, which is then refused.
func (c *conn) stopReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		c.stopped = true
		_ = c.inner.SetReadDeadline(time.Unix(1, 0))
	}
}

// write sends the responses in the order of their requests.
func (c *conn) write(ctx context.Context) {
	var out []byte
	broken := false
	for e := range c.order {
		if e.interim {
			broken = broken || !c.writeContinue()
			continue
		}
		res := <-e.done
		closing := c.endRequest(res.Close || e.closeAfter || c.server.closing.Load())
		if !broken {
			var err error
			if out, err = c.writeResponse(ctx, out[:0], res, e.method, closing); err != nil {
				broken = true
				_ = c.inner.Close() // makes the reader fail and cancel the requests
			}
			if cap(out) > maxReusedBuffer {
				out = nil
			}
		}
		res = Response{}
		e.response.Release()
		c.endWrite()
		c.server.pending.Add(-1)
		if closing {
			c.linger()
		}
	}
}

// writeResponse writes a response, with the help of the buffer, which it returns. A large body is not
// copied.
func (c *conn) writeResponse(ctx context.Context, buffer []byte, res Response, method string, closing bool) ([]byte, error) {
	now := time.Now()
	c.holder.ProgressAt(now)
	_ = c.inner.SetWriteDeadline(now.Add(writeTimeout))
	buffer = res.appendHead(buffer, closing)
	if method == http.MethodHead {
		res.Body = nil
	}
	if len(res.Body) < uplink.PartBytes {
		buffer = append(buffer, res.Body...)
		return buffer, c.server.uplink.Write(ctx, sender{c}, buffer, res.SoftDeadline)
	}
	if err := c.server.uplink.Write(ctx, sender{c}, buffer, res.SoftDeadline); err != nil {
		return buffer, err
	}
	return buffer, c.server.uplink.Write(ctx, sender{c}, res.Body, res.SoftDeadline)
}

// sender writes to the client. The time without progress counts from the beginning of a response and of each
// of its parts: between two parts, a response waits for the node's own network link.
type sender struct{ *conn }

func (s sender) Write(p []byte) (int, error) {
	if len(p) >= uplink.PartBytes {
		s.holder.Progress()
	}
	s.sending.Store(true)
	defer s.sending.Store(false)
	return s.inner.Write(p)
}

// writeContinue asks the client for the body of the request that is being received. It reports
// whether the connection can be written to.
func (c *conn) writeContinue() bool {
	if c.isClosed() {
		return true // the request is dropped
	}
	_ = c.inner.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(sender{c}, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		_ = c.inner.Close() // makes the reader fail and cancel the requests
		return false
	}
	return true
}

// linger closes the sending side of the connection and lets the reader receive for up to
// lingerTimeout more.
func (c *conn) linger() {
	if tcp, ok := c.inner.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.inner.SetReadDeadline(time.Now().Add(lingerTimeout))
}
