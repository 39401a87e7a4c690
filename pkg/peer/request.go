package peer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"
)

// Request sends a message and waits for the answer, which is at most MaxAnswerBytes.
func (l *Transport) Request(ctx context.Context, addr string, payload []byte) ([]byte, error) {
	if len(payload) > MaxRequestBytes {
		l.metrics.dropped(dropTooLarge)
		return nil, fmt.Errorf("peer: request of %d B; send at most %d B", len(payload), MaxRequestBytes)
	}
	c, err := l.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.sending(time.Now())
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("peer: cannot send to %s; try again: %w", addr, err)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(1)
		s.CancelWrite(1)
	})
	defer stop()
	answer, err := l.exchange(s, payload)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("peer: request to %s failed; try again or ask another peer: %w", addr, err)
	}
	return answer, nil
}

func (l *Transport) exchange(s *quic.Stream, payload []byte) ([]byte, error) {
	if _, err := s.Write(payload); err != nil {
		s.CancelRead(1)
		s.CancelWrite(1)
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(s, MaxAnswerBytes+1))
	if err == nil && len(answer) > MaxAnswerBytes {
		err = fmt.Errorf("answer is longer than %d B", MaxAnswerBytes)
	}
	if err != nil {
		s.CancelRead(1)
		return nil, err
	}
	return answer, nil
}
