package uplink

import (
	"context"
	"io"
	"time"
)

// Write sends a block in parts as the link allows. It blocks until the block is
// written, the writer fails or the context ends.
func (s *Scheduler) Write(ctx context.Context, w io.Writer, block []byte, by time.Time) error {
	if len(block) < PartBytes {
		s.RecordSent(len(block))
		_, err := w.Write(block)
		return err
	}
	ticket := s.NewTransfer(by, len(block))
	defer ticket.Close()
	for len(block) > 0 {
		ticket.Request()
		select {
		case n := <-ticket.Granted():
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
