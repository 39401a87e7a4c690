package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/framing"
)

// errUpgrade reports a 101 response. No request of this package asks for an upgrade.
var errUpgrade = errors.New("the response switches protocols, which was not asked for")

// errNoLength reports a response body that is delimited by the end of its connection,
// so that a truncated body can't be distinguished from a complete one.
var errNoLength = errors.New("the response has neither a Content-Length nor chunked encoding, " +
	"so that a cut would go unnoticed: send one of them")

// errForeignResponse reports a response that names another exchange, for example the late
// copy of an earlier response.
var errForeignResponse = errors.New("the response belongs to another request")

// exchangeRequest is one request to be sent over one connection.
type exchangeRequest struct {
	req *http.Request
	// stream is the body if it is sent while it is being read; if nil, req.Body is
	// already in memory.
	stream io.Reader
	// expectContinue delays the streamed body until a 100 Continue response arrives.
	expectContinue bool
	// limit, if above 0, bounds the time until stopLimit is called or the exchange ends.
	limit time.Duration
	// isStalled, if set, is called after each stallCheckAfter without progress; it returns
	// true if the connection is stalled.
	isStalled func(x *exchange) bool
}

// exchange is one request and its response on one connection. The goroutine that
// calls start and reads the body owns it; the flags may be set from others.
type exchange struct {
	pool *pool
	conn *pooledConn
	id   exchangeID
	resp *http.Response

	stopCtx  func() bool
	ended    atomic.Bool
	expired  atomic.Bool  // closed because limit passed
	progress atomic.Int64 // bytes in both directions at the last stall check

	mu         sync.Mutex  // orders the timers against the end of the exchange
	stallTimer *time.Timer // guarded by mu
	limitTimer *time.Timer // guarded by mu

	body      *streamBody   // the streamed request body, or nil
	continued chan struct{} // closed when a 100 Continue response arrives
	written   chan struct{} // closed when the writer of a streamed body ends; nil without one
	writeErr  error         // the writer's result, valid once written is closed
}

// start sends the request and reads the response headers. On an error the
// connection is closed; x.conn.writeStarted reports whether bytes may have been sent.
func start(ctx context.Context, p *pool, c *pooledConn, er exchangeRequest) (*exchange, error) {
	x := &exchange{pool: p, conn: c}
	c.begin()
	x.id = c.identify(er.req.Header)
	x.stopCtx = context.AfterFunc(ctx, func() { closeNow(c) })
	x.startTimers(er)
	err := x.send(er)
	if err == nil || c.writeStarted.Load() {
		if err != nil {
			// The server may have responded before it closed the connection.
			_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
			c.notReusable.Store(true)
		}
		readErr := x.readHeaders(er.req)
		if err != nil && readErr == nil {
			_ = c.SetReadDeadline(time.Time{})
		}
		if err == nil || readErr == nil {
			err = readErr
		}
	}
	if err != nil {
		x.abandon()
		return x, err
	}
	return x, nil
}

// send writes the request; a streamed body is written by a goroutine.
func (x *exchange) send(er exchangeRequest) error {
	if er.stream == nil {
		if err := er.req.Write(requestWriter{x.conn.bw}); err != nil {
			return err
		}
		err := x.conn.bw.Flush()
		x.progress.Store(x.conn.sent.Load())
		return err
	}
	if er.expectContinue {
		x.continued = make(chan struct{})
		setHeader(er.req.Header, "Expect", "100-continue")
	}
	x.body = &streamBody{src: er.stream, bw: x.conn.bw, sendable: x.continued, abandoned: make(chan struct{})}
	er.req.Body = x.body
	x.written = make(chan struct{})
	go func() {
		err := er.req.Write(requestWriter{x.conn.bw})
		if err == nil {
			err = x.conn.bw.Flush()
		}
		if x.body.failed != nil && !x.ended.Load() {
			// The body can't be completed, and the server must not treat it as complete.
			closeNow(x.conn)
		}
		x.writeErr = err
		close(x.written)
	}()
	return nil
}

// readHeaders reads responses up to the final one.
func (x *exchange) readHeaders(req *http.Request) error {
	for range maxInterim {
		resp, err := x.conn.br.ReadResponse(req)
		if err != nil {
			x.countInterruption(err)
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return fmt.Errorf("the connection was closed before the response: %w", err)
			}
			return err
		}
		switch {
		case resp.StatusCode == http.StatusContinue:
			x.signalContinue()
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return errUpgrade
		case resp.StatusCode >= 200:
			if x.id.isForeign(resp.Header) {
				x.pool.foundUnsolicited(foundOtherID)
				return errForeignResponse
			}
			x.conn.use.named = x.id.isNamed(resp.Header)
			x.conn.headersDone()
			x.resp = resp
			if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
				return errNoLength
			}
			return nil
		}
	}
	return errors.New("too many interim responses")
}

func (x *exchange) signalContinue() {
	if x.continued != nil {
		close(x.continued)
		x.continued = nil
	}
}

// Read reads the response body. At its end the connection is returned to the pool;
// after any other error it is closed.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	if err == io.EOF {
		x.finish()
	} else if err != nil {
		x.countInterruption(err)
		x.abandon()
	}
	return n, err
}

// countInterruption ends the reuse of connections if the error is that another response begins within
// the response.
func (x *exchange) countInterruption(err error) {
	if isInterruption(err) {
		x.pool.foundUnsolicited(foundWithinResponse)
	}
}

func isInterruption(err error) bool { return errors.As(err, new(*framing.Interruption)) }

// finish ends a complete exchange. The connection is returned to the pool if its
// request was sent in full, neither side closes it and no bytes follow the response. If the
// request was not, the response is an early one or the copy of an earlier one.
func (x *exchange) finish() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	complete := true
	if x.written != nil {
		select {
		case <-x.written:
			complete = x.writeErr == nil
		default:
			complete = false
		}
	}
	live := x.stopCtx()
	x.stopTimers()
	followed := x.conn.br.Buffered() > 0
	if followed && (complete || x.mayBeCopy()) {
		x.pool.foundUnsolicited(foundAfterResponse)
	}
	switch {
	case !live || x.resp.Close || followed:
	case complete:
		x.pool.put(x.conn)
		return
	case x.mayBeCopy():
		x.body.abandon()
		_ = x.conn.SetWriteDeadline(alreadyPast) // ends the writer
		go x.pool.watchAndDiscard(x.conn)
		return
	}
	x.release()
	x.pool.discard(x.conn)
}

// mayBeCopy reports whether the response may be the copy of an earlier one on the connection. Then the own
// one is still to come.
func (x *exchange) mayBeCopy() bool { return x.conn.reused && !x.conn.use.named }

// abandon closes the connection of an exchange that did not complete.
func (x *exchange) abandon() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	x.stopCtx()
	x.stopTimers()
	x.release()
	x.pool.discard(x.conn)
}

// release makes the writer of a streamed body end. It does not wait for the writer,
// which may be reading from a caller that sends nothing.
func (x *exchange) release() {
	if x.body != nil {
		x.body.abandon()
		closeNow(x.conn)
	}
}
