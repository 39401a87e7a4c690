package peer

import (
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"corianderwood.example/corianderwood/pkg/contain"
)

// waitReady waits until Run has set the handler. It reports false if the transport is
// closed.
func (t *Transport) waitReady() bool {
	select {
	case <-t.ready:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// dispatch passes one message to the handler. A panic ends the processing of the message only.
func (t *Transport) dispatch(payload []byte, reply func([]byte) error) {
	defer contain.Recover(contain.PeerMessage, func(error) { t.metrics.dropped(dropReceive) })
	t.handle(payload, reply)
}

func (t *Transport) readDatagrams(c *conn) {
	if !t.waitReady() {
		return
	}
	for {
		payload, err := c.quic.ReceiveDatagram(t.ctx)
		if err != nil {
			return
		}
		t.dispatch(payload, nil)
	}
}

func (t *Transport) readStreams(c *conn) {
	if !t.waitReady() {
		return
	}
	for {
		s, err := c.quic.AcceptUniStream(t.ctx)
		if err != nil {
			return
		}
		if !t.spawn(func() { t.readMessage(s) }) {
			return
		}
	}
}

func (t *Transport) readMessage(s *quic.ReceiveStream) {
	_ = s.SetReadDeadline(time.Now().Add(StreamTimeout))
	payload, ok := t.readLimited(s, MaxMessageBytes)
	if !ok {
		s.CancelRead(1)
		return
	}
	t.dispatch(payload, nil)
}

// readLimited reads a stream to its end. It reports false if that fails or the content is
// longer than limit.
func (t *Transport) readLimited(r io.Reader, limit int64) ([]byte, bool) {
	payload, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		t.metrics.dropped(dropReceive)
		return nil, false
	case int64(len(payload)) > limit:
		t.metrics.dropped(dropTooLarge)
		return nil, false
	}
	return payload, true
}

func (t *Transport) readRequests(c *conn) {
	if !t.waitReady() {
		return
	}
	for {
		s, err := c.quic.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		if !t.spawn(func() { t.serveRequest(s) }) {
			return
		}
	}
}

// serveRequest reads one request and passes it to the handler with a function that sends
// the response.
func (t *Transport) serveRequest(s *quic.Stream) {
	_ = s.SetDeadline(time.Now().Add(StreamTimeout))
	payload, ok := t.readLimited(s, MaxRequestBytes)
	if !ok {
		s.CancelRead(1)
		s.CancelWrite(1)
		return
	}
	responded := false
	t.dispatch(payload, func(response []byte) error {
		responded = true
		_ = s.SetWriteDeadline(time.Now().Add(StreamTimeout))
		if _, err := s.Write(response); err != nil {
			t.metrics.dropped(dropSend)
			s.CancelWrite(1)
			return err
		}
		return s.Close()
	})
	if !responded {
		s.CancelWrite(1)
	}
}
