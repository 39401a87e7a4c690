package peer

import (
	"io"
	"time"

	"github.com/quic-go/quic-go"
)

// waitReady waits until Run has set the handler.
func (l *Transport) waitReady() bool {
	select {
	case <-l.ready:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *Transport) readDatagrams(c *conn) {
	if !l.waitReady() {
		return
	}
	for {
		payload, err := c.quic.ReceiveDatagram(l.ctx)
		if err != nil {
			return
		}
		l.handle(payload, nil)
	}
}

func (l *Transport) readStreams(c *conn) {
	if !l.waitReady() {
		return
	}
	for {
		s, err := c.quic.AcceptUniStream(l.ctx)
		if err != nil {
			return
		}
		if !l.spawn(func() { l.readMessage(s) }) {
			return
		}
	}
}

func (l *Transport) readMessage(s *quic.ReceiveStream) {
	_ = s.SetReadDeadline(time.Now().Add(StreamTimeout))
	payload, ok := l.readLimited(s, MaxMessageBytes)
	if !ok {
		s.CancelRead(1)
		return
	}
	l.handle(payload, nil)
}

// readLimited reads a stream to its end, unless it is longer than limit.
func (l *Transport) readLimited(r io.Reader, limit int64) ([]byte, bool) {
	payload, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		l.metrics.dropped(dropReceive)
		return nil, false
	case int64(len(payload)) > limit:
		l.metrics.dropped(dropTooLarge)
		return nil, false
	}
	return payload, true
}

func (l *Transport) readRequests(c *conn) {
	if !l.waitReady() {
		return
	}
	for {
		s, err := c.quic.AcceptStream(l.ctx)
		if err != nil {
			return
		}
		if !l.spawn(func() { l.serve(s) }) {
			return
		}
	}
}

// serve reads one request and passes it on with a function for the answer.
func (l *Transport) serve(s *quic.Stream) {
	_ = s.SetDeadline(time.Now().Add(StreamTimeout))
	payload, ok := l.readLimited(s, MaxRequestBytes)
	if !ok {
		s.CancelRead(1)
		s.CancelWrite(1)
		return
	}
	answered := false
	l.handle(payload, func(answer []byte) error {
		answered = true
		_ = s.SetWriteDeadline(time.Now().Add(StreamTimeout))
		if _, err := s.Write(answer); err != nil {
			l.metrics.dropped(dropSend)
			s.CancelWrite(1)
			return err
		}
		return s.Close()
	})
	if !answered {
		s.CancelWrite(1)
	}
}
