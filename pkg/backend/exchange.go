package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// errMismatch means that a response belongs to an earlier request.
var errMismatch = errors.New("response belongs to another request")

// exchange sends the request and reads its response.
func (c *Client) exchange(ctx context.Context, conn *connection, req *call.Request, instance string) call.Response {
	now := time.Now()
	_ = conn.SetDeadline(req.Deadline.Add(answerMargin))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	out := c.encode(req, instance, now)
	written := make(chan error, 1)
	if len(req.Body) <= inlineBody {
		_, err := conn.Write(append(out, req.Body...))
		if err != nil {
			stop()
			_ = conn.Close()
			return lost()
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
		_ = conn.Close()
		return lost()
	}
	outcome := c.outcome(res)
	if !stop() || res.Close || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return outcome
	}
	conn.keep = keepAliveTime(res.Header)
	c.finishWrite(conn, written)
	return outcome
}

// finishWrite returns the connection to the pool once the whole request is
// written. The server gets the rest of a body even after an early response.
func (c *Client) finishWrite(conn *connection, written <-chan error) {
	_ = conn.SetDeadline(time.Now().Add(lateWrite))
	keep := func(err error) {
		if err != nil {
			_ = conn.Close()
			return
		}
		_ = conn.SetDeadline(time.Time{})
		c.put(conn)
	}
	select {
	case err := <-written:
		keep(err)
	default:
		go func() { keep(<-written) }()
	}
}

func lost() call.Response {
	return call.Response{Refusal: reason.UpstreamFailed, Ran: reason.RanUnknown, ReachedServer: true}
}

// readResponse reads the whole response to the request and skips responses to
// earlier ones.
func (c *Client) readResponse(conn *connection, req *call.Request) (*response, error) {
	for range maxStrayResponses {
		if _, err := conn.reader.Peek(1); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
		if err != nil {
			return nil, err
		}
		if len(body) > maxResponseBytes {
			return nil, errors.New("response is too large")
		}
		id := res.Header.Get(c.headers.RequestID)
		if id != req.ID && (id != "" || res.StatusCode/100 == 2) {
			if res.Close {
				return nil, errMismatch
			}
			continue
		}
		return &response{Response: res, body: body}, nil
	}
	return nil, errMismatch
}

// outcome turns a whole response into what the caller may get of it.
func (c *Client) outcome(res *response) call.Response {
	header := res.Header
	out := call.Response{Status: res.StatusCode, Ran: reason.RanYes, ReachedServer: true, Body: res.body}
	if header.Get(c.headers.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		out.Ran = reason.RanNo
		return out
	}
	if res.StatusCode/100 == 2 && (header.Get(c.headers.Signature) == "" || header.Get("Content-Encoding") != "") {
		return lostAfterRun()
	}
	out.Head = c.responseHead(header)
	return out
}

func lostAfterRun() call.Response {
	return call.Response{Refusal: reason.ResponseLost, Ran: reason.RanYes, ReachedServer: true}
}

// connectionHeaders concern one connection only; the node sets its own.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Te": true,
}

func (c *Client) responseHead(header http.Header) []byte {
	var out []byte
	for name, values := range header {
		if connectionHeaders[name] || name == http.CanonicalHeaderKey(c.headers.ServerLoad) {
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
