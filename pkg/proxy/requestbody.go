package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// errBodyTooLarge reports a streamed body that exceeds its limit.
var errBodyTooLarge = errors.New("the request body exceeds the limit")

// requestBody is the body of a request that is forwarded to the next hop. A body of known
// length up to bufferedBody is buffered and can be sent again. Any other body is streamed,
// and can be sent again only as long as nothing of it has been read.
type requestBody struct {
	buffered []byte
	stream   *trackedReader // nil if the body is buffered
	length   int64          // as http.Request.ContentLength
}

// trackedReader records how much of a body was read and how it ended.
type trackedReader struct {
	r        io.Reader
	waiting  atomic.Bool // a read is blocked, waiting for the sender
	complete atomic.Bool // the body was read to its end
	failed   atomic.Bool // a read failed or the limit was exceeded
	limit    int64
	count    atomic.Int64
}

func (t *trackedReader) Read(p []byte) (int, error) {
	t.waiting.Store(true)
	n, err := t.r.Read(p)
	t.waiting.Store(false)
	if t.count.Add(int64(n)) > t.limit {
		n, err = 0, errBodyTooLarge
	}
	switch {
	case err == io.EOF:
		t.complete.Store(true)
	case err != nil:
		t.failed.Store(true)
	}
	return n, err
}

// readRequestBody takes over the body of r. A body that is to be buffered must arrive
// before the deadline and the end of ctx; track, if set, shows how much of it has arrived.
// For a streamed body, it enables full-duplex mode, so that the response may be written while
// the body is read.
func readRequestBody(ctx context.Context, w http.ResponseWriter, r *http.Request, maxBody int64, deadline time.Time, track func(*trackedReader)) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	controller := http.NewResponseController(w)
	reader := &trackedReader{r: r.Body, limit: maxBody}
	if track != nil {
		track(reader)
	}
	if r.ContentLength > 0 && r.ContentLength <= bufferedBody {
		whole, err := readBuffered(ctx, controller, reader, r.ContentLength, deadline)
		return &requestBody{buffered: whole, length: r.ContentLength}, err
	}
	if err := controller.EnableFullDuplex(); err != nil {
		return nil, err
	}
	return &requestBody{stream: reader, length: r.ContentLength}, nil
}

// readBuffered reads a body of known length into memory.
func readBuffered(ctx context.Context, controller *http.ResponseController, body *trackedReader, length int64, deadline time.Time) ([]byte, error) {
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = controller.SetReadDeadline(alreadyPast) // ends the read
		close(ended)
	})
	whole := make([]byte, length)
	_, err := io.ReadFull(body, whole)
	if err == nil {
		// Reads the end of the body: only then does net/http watch for a closed connection.
		_, _ = body.r.Read(make([]byte, 1))
	}
	if !stop() {
		<-ended // the deadline must not change after the handler has returned
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, err
	}
	return whole, controller.SetReadDeadline(time.Time{})
}

// canResend reports whether the body can be sent again after its last exchange.
func (b *requestBody) canResend(last *exchange) bool {
	return b.stream == nil || last == nil || last.body == nil || last.body.abandonedUnread()
}

// tooLarge reports whether a streamed body exceeded its limit.
func (b *requestBody) tooLarge() bool {
	return b.stream != nil && b.stream.count.Load() > b.stream.limit
}

// incomplete reports whether a streamed body was not read to its end.
func (b *requestBody) incomplete() bool { return b.stream != nil && !b.stream.complete.Load() }

// failed reports whether reading a streamed body failed or exceeded its limit.
func (b *requestBody) failed() bool { return b.stream != nil && b.stream.failed.Load() }

// attach makes b the body of req. For a streamed body it returns the reader instead.
func (b *requestBody) attach(req *http.Request) io.Reader {
	req.ContentLength = b.length
	if b.stream != nil {
		return b.stream
	}
	if len(b.buffered) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(b.buffered))
	}
	return nil
}

// closeConnIfUnread makes the response close the connection if the body has not been read
// to its end. Otherwise net/http in full-duplex mode may reuse the connection and parse the
// rest of the body as the next request. It must be called before the headers of the
// response are written.
func (b *requestBody) closeConnIfUnread(w http.ResponseWriter) {
	if b != nil && b.incomplete() {
		setHeader(w.Header(), "Connection", "close")
	}
}

// stopReading stops reading a streamed body and waits for the writer of its last exchange,
// because net/http may use the connection only after that.
func (b *requestBody) stopReading(w http.ResponseWriter, last *exchange) {
	if !b.incomplete() {
		return
	}
	if last != nil && last.written != nil {
		last.abandon()
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		<-last.written
	}
	limitUnreadTime(w)
}

// limitUnreadTime limits the time for which net/http reads the rest of a body before it closes
// the connection. By default there is no limit.
func limitUnreadTime(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
