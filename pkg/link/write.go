package link

import "time"

// write sends queued frames. Between the parts of a large frame it sends the small
// ones that have been queued meanwhile.
func (l *Link) write() {
	var current *transfer
	defer func() {
		if current != nil {
			l.finish(current)
		}
		l.dropTransfers()
	}()
	for {
		large, granted := l.large, (<-chan int)(nil)
		if current != nil {
			large, granted = nil, current.ticket.Granted()
		}
		var err error
		select {
		case frame := <-l.out:
			err = l.writeBatch(frame)
		case current = <-large:
			current.ticket.Request()
		case n := <-granted:
			current, err = l.writePart(current, n)
		case <-l.ctx.Done():
			return
		}
		if err != nil {
			l.cancel(err)
			return
		}
	}
}

// writePart sends a granted part and asks for the next one. It returns nil after
// the last part.
func (l *Link) writePart(t *transfer, n int) (*transfer, error) {
	if t.useless(time.Now()) {
		n = 0
	}
	err := l.writeTimed(t.part(n))
	if n == 0 || t.sent == len(t.content) {
		l.finish(t)
		return nil, err
	}
	t.ticket.Request()
	return t, err
}

// dropTransfers takes what was not sent out of the node's backlog.
func (l *Link) dropTransfers() {
	for {
		select {
		case t := <-l.large:
			l.finish(t)
		default:
			return
		}
	}
}

// writeBatch sends a small frame with those that wait behind it.
func (l *Link) writeBatch(frame []byte) error {
	batch := frame[:len(frame):len(frame)]
	for range len(l.out) {
		if len(batch) >= writeBatchBytes {
			break
		}
		batch = append(batch, <-l.out...)
	}
	l.uplink.RecordSent(len(batch))
	return l.writeTimed(batch)
}

func (l *Link) writeTimed(frames []byte) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := l.conn.Write(frames)
	return err
}
