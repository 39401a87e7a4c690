package link

import (
	"time"

	"corianderwood.example/corianderwood/pkg/contain"
)

// startWriting starts the writing goroutine unless it runs.
func (l *Link) startWriting() {
	if l.queue.beginWriting() {
		go l.write()
	}
}

// write sends the queued frames until none is left or the link ends. Between the parts of
// a large frame it sends the small ones that were queued meanwhile.
func (l *Link) write() {
	var current *transfer
	defer contain.Recover(contain.Link, func(err error) { l.cancel(err) })
	defer func() {
		if current != nil {
			l.finish(current)
		}
	}()
	for {
		if err := l.writeFrames(); err != nil {
			l.cancel(err)
			return
		}
		if current == nil {
			if current = l.queue.takeTransfer(); current == nil {
				if l.queue.endWriting() {
					return
				}
				continue
			}
			current.uplinkTransfer.Request()
		}
		select {
		case <-l.queue.added:
		case n := <-current.uplinkTransfer.Granted():
			var err error
			if current, err = l.writePart(current, n); err != nil {
				l.cancel(err)
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// writePart sends a part of the granted size and requests the next grant. It returns
// nil after the last part.
func (l *Link) writePart(t *transfer, n int) (*transfer, error) {
	if t.abandoned(time.Now()) {
		n = 0
	}
	l.holder.Progress()
	err := l.writeTimed(t.nextPart(n))
	if n == 0 || t.sent == len(t.content) {
		l.finish(t)
		return nil, err
	}
	t.uplinkTransfer.Request()
	return t, err
}

// closeQueue drops the queued frames and removes the large ones from the backlog of the
// node's uplink.
func (l *Link) closeQueue() {
	for _, t := range l.queue.close() {
		l.finish(t)
	}
}

// writeFrames sends the queued small frames, several in one call.
func (l *Link) writeFrames() error {
	for frames := l.queue.takeFrames(writeBatchBytes); len(frames) > 0; frames = l.queue.takeFrames(writeBatchBytes) {
		batch := frames[0]
		if len(frames) > 1 {
			batch = concat(frames)
		}
		l.uplink.RecordSent(len(batch))
		if err := l.writeTimed(batch); err != nil {
			return err
		}
	}
	return nil
}

func concat(frames [][]byte) []byte {
	size := 0
	for _, f := range frames {
		size += len(f)
	}
	out := make([]byte, 0, size)
	for _, f := range frames {
		out = append(out, f...)
	}
	return out
}

func (l *Link) writeTimed(frames []byte) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	l.sending.Store(true)
	defer l.sending.Store(false)
	_, err := l.conn.Write(frames)
	return err
}
