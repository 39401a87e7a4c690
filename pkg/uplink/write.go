package uplink

import (
	"context"
	"io"
	"time"
)

// Write writes a block in parts as fast as the link allows, after blocks with earlier
// deadlines. It blocks until the block is written, w fails or ctx ends. A block smaller
// than PartBytes is written at once.
func (s *Scheduler) Write(ctx context.Context, w io.Writer, block []byte, deadline time.Time) error {
	if len(block) < PartBytes {
		s.RecordSent(len(block))
		_, err := w.Write(block)
		return err
	}
	transfer := s.NewTransfer(deadline, len(block))
	defer transfer.Close()
	for len(block) > 0 {
		transfer.Request()
		select {
		case n := <-transfer.Granted():
			if _, err := w.Write(block[:n]); err != nil {
				return err
			}
			block = block[n:]
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
