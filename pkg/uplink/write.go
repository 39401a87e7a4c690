package uplink

import (
	"context"
	"io"
	"time"
)

// Write writes a frame in parts as fast as the link allows, after frames with earlier
// deadlines. It returns when the frame is written, w fails or ctx ends. A frame smaller
// than PartBytes is written at once.
func (s *Scheduler) Write(ctx context.Context, w io.Writer, frame []byte, deadline time.Time) error {
	if len(frame) < PartBytes {
		s.RecordSent(len(frame))
		_, err := w.Write(frame)
		return err
	}
	transfer := s.NewTransfer(deadline, len(frame))
	defer transfer.Close()
	for len(frame) > 0 {
		transfer.Request()
		select {
		case n := <-transfer.Granted():
			if _, err := w.Write(frame[:n]); err != nil {
				return err
			}
			frame = frame[n:]
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
