package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/samber/oops"
)

// bodyBuffers holds buffers for the bodies of frames that exceed readBuffer. All links
// share them, since few receive such a frame at the same time.
var bodyBuffers = sync.Pool{New: func() any { return new([maxUndividedBytes]byte) }}

// frameReader reads frames without allocating memory for each. The reading goroutine of a
// link owns it.
type frameReader struct {
	reader *bufio.Reader
	// large is the buffer that holds the last body if that exceeded readBuffer.
	large *[maxUndividedBytes]byte
	// unread is the number of bytes of the last body that are still in reader.
	unread int
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{reader: bufio.NewReaderSize(r, readBuffer)}
}

// header reads the header of a frame whose body may have at most limit bytes.
func (r *frameReader) header(limit int) (kind Kind, size int, err error) {
	r.release()
	header, err := r.reader.Peek(frameHeader)
	if err != nil {
		return 0, 0, err
	}
	claimed := binary.BigEndian.Uint32(header)
	if int64(claimed) > int64(limit) {
		return 0, 0, oops.Errorf("frame of %d bytes exceeds the limit of %d; check that the peer is a node of a compatible version", claimed, limit)
	}
	kind = Kind(header[4])
	_, err = r.reader.Discard(frameHeader)
	return kind, int(claimed), err
}

// body reads a body of at most maxUndividedBytes. It is valid until the next call of
// header or release.
func (r *frameReader) body(size int) ([]byte, error) {
	if size <= r.reader.Size() {
		body, err := r.reader.Peek(size)
		r.unread = len(body)
		return body, err
	}
	r.large = bodyBuffers.Get().(*[maxUndividedBytes]byte)
	body := r.large[:size]
	_, err := io.ReadFull(r.reader, body)
	return body, err
}

// release ends the use of the last body.
func (r *frameReader) release() {
	_, _ = r.reader.Discard(r.unread) // these bytes are buffered
	r.unread = 0
	if r.large != nil {
		bodyBuffers.Put(r.large)
		r.large = nil
	}
}
