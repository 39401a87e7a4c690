package framing

import (
	"bufio"
	"io"
	"net/http"
	"time"
)

// Conn is what a Reader needs of a connection.
type Conn interface {
	io.Reader
	// LimitWait bounds the time for which reads wait for bytes, besides what bounds it anyway, until the
	// returned function is called.
	LimitWait(d time.Duration) (restore func())
}

// Reader reads the responses of one connection, one after the other. It is not safe for
// concurrent use.
type Reader struct {
	*bufio.Reader
	conn       Conn
	scanner    scanner
	inspection inspection // of the response that is being read, or was read last
	inResponse bool       // a response is being read
}

// NewReader returns a reader of the connection with a buffer of the given size, in bytes. The marks
// are the names of headers that only the servers of the deployment send.
func NewReader(conn Conn, size int, marks ...string) *Reader {
	r := &Reader{conn: conn, scanner: scanner{marks: marks}}
	r.Reader = bufio.NewReaderSize(scanningReader{r}, size)
	return r
}

// scanningReader shows the scanner what the connection delivers.
type scanningReader struct{ *Reader }

func (s scanningReader) Read(p []byte) (int, error) {
	// A chunk is read to its end before the body checks, which may never come.
	if s.inResponse {
		if found := s.checkSoFar(); found != nil {
			return 0, found
		}
	}
	n, err := s.conn.Read(p[:min(len(p), maxRead)])
	s.scanner.scan(p[:n])
	return n, err
}

// ReadResponse reads the head of the next response to a request. It returns an *InvalidStatusError if
// the status or the version is none of HTTP/1. It, or the read that would end the body, returns an
// *InvalidHeadError if HTTP/1 doesn't allow a field or line, and an *Interruption if another response begins
// within the response.
func (r *Reader) ReadResponse(req *http.Request) (*http.Response, error) {
	r.begin()
	res, err := http.ReadResponse(r.Reader, req)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(res); err != nil {
		return nil, err
	}
	r.inspection.hasMessages = holdsMessages(res.Header.Get("Content-Type"))
	if found := r.checkSoFar(); found != nil {
		return nil, found
	}
	if err := r.checkHead(res); err != nil {
		return nil, err
	}
	r.inResponse = res.Body != http.NoBody
	if r.inResponse {
		res.Body = &body{ReadCloser: res.Body, reader: r, response: res}
	}
	return res, nil
}

// checkHead returns an *InvalidHeadError if HTTP/1 doesn't allow the head that was read. net/http accepts
// names with blanks, folded lines and line ends that differ, and ignores a transfer coding in HTTP/1.0, so that
// the coded bytes would be the body.
func (r *Reader) checkHead(res *http.Response) error {
	own := &r.inspection.own
	switch {
	case own.state == open:
		return &InvalidHeadError{"a status line that is too long"}
	case own.fault != "":
		return &InvalidHeadError{own.fault}
	case own.chunked && !res.ProtoAtLeast(1, 1):
		return &InvalidHeadError{"a transfer coding in HTTP/1.0"}
	default:
		return nil
	}
}

// begin scans what is buffered once more, as the bytes of the next response.
func (r *Reader) begin() {
	start := r.offset()
	buffered, _ := r.Peek(r.Buffered()) // returns no error for buffered bytes
	r.scanner.reset(start)
	r.scanner.scan(buffered)
	r.inspection, r.inResponse = inspection{scanner: &r.scanner, start: start}, true
}

// offset returns the offset of the next byte to be read.
func (r *Reader) offset() int64 { return r.scanner.total - int64(r.Buffered()) }

// checkSoFar tells whether another response has begun within what was read, and returns nil if none is known
// to have.
func (r *Reader) checkSoFar() *Interruption {
	if other, found := r.inspection.soFar(r.offset()); found {
		return r.interruption(other)
	}
	return nil
}

// checkWhole tells whether another response begins within the response that ends here, and returns nil if
// none does.
func (r *Reader) checkWhole() *Interruption {
	r.inResponse = false
	end := r.offset()
	result, other := r.inspection.atEnd(end)
	if result == undecided {
		restore := r.conn.LimitWait(awaitNext)
		defer restore()
		for result == undecided {
			if _, err := r.Peek(r.Buffered() + 1); err != nil {
				return nil // nothing follows
			}
			result, other = r.inspection.atEnd(end)
		}
	}
	if result == interrupted {
		return r.interruption(other)
	}
	return nil
}

func (r *Reader) interruption(other head) *Interruption {
	return &Interruption{At: other.start - r.inspection.start, Status: other.status, Mark: other.mark}
}
