package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// errMismatch reports that no response was received that is known to belong to the request.
var errMismatch = errors.New("response does not carry the id of the request")

// exchange sends the request on conn and reads its response.
func (c *Client) exchange(ctx context.Context, conn *connection, req *call.Request, instance string) call.Response {
	now := time.Now()
	conn.ids.add(req.ID)
	conn.deadlines.set(conn.Conn, req.Deadline.Add(responseMargin))
	stop := context.AfterFunc(ctx, func() { conn.deadlines.cancel(conn.Conn) })
	out := c.encode(req, instance, now)
	written := make(chan error, 1)
	if len(req.Body) <= maxInlineBody {
		_, err := conn.Write(append(out, req.Body...))
		if err != nil {
			stop()
			c.broken(conn)
			_ = conn.Close()
			return outcomeUnknown()
		}
		written <- nil
	} else {
		go func() {
			_, err := conn.Write(append(out, req.Body...))
			written <- err
		}()
	}
	res, err := c.readResponse(conn, req)
	if err != nil {
		stop()
		c.broken(conn)
		_ = conn.Close()
		return outcomeUnknown()
	}
	outcome := c.outcome(res)
	// The next response on the connection could be a copy of this one. Only its id tells the
	// copy from the response to the next request, which therefore must have another id.
	identified := res.id(c.opts.Headers) == req.ID
	if !identified {
		c.opts.Metrics.responseWithoutID(req.ID, res.StatusCode)
	}
	if conn.reader.Buffered() > 0 {
		c.opts.Metrics.unexpectedBytes.Inc()
	}
	if !stop() || res.Close || !identified || conn.ids.full() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return outcome
	}
	conn.keepAlive = keepAliveTime(res.Header)
	c.finishWrite(conn, written)
	return outcome
}

// finishWrite returns the connection to the pool once the complete request is written.
// The rest of the body is sent even if the server responded before it had read it,
// because the server would take whatever follows for the rest of the body.
func (c *Client) finishWrite(conn *connection, written <-chan error) {
	conn.deadlines.set(conn.Conn, time.Now().Add(lateWriteTimeout))
	keep := func(err error) {
		if err != nil {
			c.broken(conn)
			_ = conn.Close()
			return
		}
		conn.deadlines.set(conn.Conn, time.Time{})
		c.put(conn)
	}
	select {
	case err := <-written:
		keep(err)
	default:
		go func() { keep(<-written) }()
	}
}

func outcomeUnknown() call.Response {
	return call.Response{Refusal: reason.UpstreamFailed, Ran: reason.RanUnknown, ReachedServer: true}
}

// readResponse reads the complete response to the request. The first final response is the one to
// the request, or shows that the connection can't tell it, unless it is a second response to an
// earlier request: that is skipped.
func (c *Client) readResponse(conn *connection, req *call.Request) (*response, error) {
	// Each earlier request on the connection may have left a copy of its response.
	for range maxStrayResponses + conn.ids.len() {
		if _, err := conn.reader.Peek(1); err != nil {
			return nil, err
		}
		// The reader also buffers up to readBuffer bytes that follow the head.
		conn.input.Limit(maxHeadBytes + readBuffer)
		head, err := conn.reader.ReadResponse(&http.Request{Method: req.Method})
		if err != nil {
			c.opts.Metrics.notWhole(err, req.ID, byHead, conn)
			return nil, err
		}
		conn.input.Limit(0)
		if head.StatusCode/100 == 1 {
			c.opts.Metrics.skip(skipInterim, req.ID, "", head.StatusCode, conn)
			continue
		}
		body, err := c.readBody(head)
		if err != nil {
			c.opts.Metrics.notWhole(err, req.ID, framingOf(head), conn)
			return nil, err
		}
		res := &response{Response: head, body: body}
		id := res.id(c.opts.Headers)
		if id == req.ID || id == "" && !res.isSuccess() && conn.isFirstRequest() {
			conn.ids.setResponse(res.digest(c.opts.Headers))
			return res, nil
		}
		why := conn.whyStray(id, res.digest(c.opts.Headers))
		c.opts.Metrics.skip(why, req.ID, id, res.StatusCode, conn)
		if res.Close || why != skipCopy {
			return nil, errMismatch
		}
	}
	return nil, errMismatch
}

// readBody reads the complete body. A body that is still incomplete when the client's
// bodies reach their limit ends with an error.
func (c *Client) readBody(res *http.Response) ([]byte, error) {
	hold := c.opts.Bodies.Hold()
	defer hold.Release()
	return hold.ReadAll(res.Body, res.ContentLength)
}

// outcome converts a complete response. A successful response without the server's
// signature, or with a content encoding, is not passed on.
func (c *Client) outcome(res *response) call.Response {
	header := res.Header
	out := call.Response{Status: res.StatusCode, Ran: reason.RanYes, ReachedServer: true, Body: res.body}
	out.Notice, out.NoticeErr = c.opts.Notice(header)
	if header.Get(c.opts.Headers.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		out.Ran = reason.RanNo
		return out
	}
	if res.StatusCode/100 == 2 && (header.Get(c.opts.Headers.Signature) == "" || header.Get("Content-Encoding") != "") {
		return responseLost()
	}
	out.Head = c.responseHead(header)
	return out
}

func responseLost() call.Response {
	return call.Response{Refusal: reason.ResponseLost, Ran: reason.RanYes, ReachedServer: true}
}

// hopByHopHeaders apply to a single connection; the node sets its own.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Te": true,
}

func (c *Client) responseHead(header http.Header) []byte {
	var out []byte
	for name, values := range header {
		if hopByHopHeaders[name] || name == http.CanonicalHeaderKey(c.opts.Headers.ServerLoad) {
			continue
		}
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	return out
}
