package peer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"
)

// Request sends a message of at most MaxRequestBytes and waits for the response, which has
// at most MaxResponseBytes. It has no time limit of its own; ctx should have one.
func (t *Transport) Request(ctx context.Context, addr string, payload []byte) ([]byte, error) {
	if len(payload) > MaxRequestBytes {
		t.metrics.dropped(dropTooLarge)
		return nil, fmt.Errorf("peer: request has %d B, which exceeds the limit of %d B", len(payload), MaxRequestBytes)
	}
	c, err := t.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.noteSend(time.Now())
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("peer: cannot open a stream to %s; try again: %w", addr, err)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(1)
		s.CancelWrite(1)
	})
	defer stop()
	response, err := t.exchange(s, payload)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("peer: request to %s failed; try again or ask another peer: %w", addr, err)
	}
	return response, nil
}

// exchange sends a request on a stream and reads the response.
func (t *Transport) exchange(s *quic.Stream, payload []byte) ([]byte, error) {
	if _, err := s.Write(payload); err != nil {
		s.CancelRead(1)
		s.CancelWrite(1)
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	response, err := io.ReadAll(io.LimitReader(s, MaxResponseBytes+1))
	if err == nil && len(response) > MaxResponseBytes {
		err = fmt.Errorf("response exceeds the limit of %d B", MaxResponseBytes)
	}
	if err != nil {
		s.CancelRead(1)
		return nil, err
	}
	return response, nil
}
