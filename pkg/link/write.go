package link

import "time"

// write sends queued frames until the link ends. Between the parts of a large frame it
// sends the small ones that were queued meanwhile.
func (l *Link) write() {
	var current *transfer
	defer func() {
		if current != nil {
			l.finish(current)
		}
		l.dropTransfers()
	}()
	for {
		large, granted := l.transferQueue, (<-chan int)(nil)
		if current != nil {
			large, granted = nil, current.uplinkTransfer.Granted()
		}
		var err error
		select {
		case frame := <-l.frameQueue:
			err = l.writeBatch(frame)
		case current = <-large:
			current.uplinkTransfer.Request()
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

// writePart sends a part of the granted size and requests the next grant. It returns
// nil after the last part.
func (l *Link) writePart(t *transfer, n int) (*transfer, error) {
	if t.abandoned(time.Now()) {
		n = 0
	}
	err := l.writeTimed(t.nextPart(n))
	if n == 0 || t.sent == len(t.content) {
		l.finish(t)
		return nil, err
	}
	t.uplinkTransfer.Request()
	return t, err
}

// dropTransfers removes the queued transfers from the backlog of the node's uplink.
func (l *Link) dropTransfers() {
	for {
		select {
		case t := <-l.transferQueue:
			l.finish(t)
		default:
			return
		}
	}
}

// writeBatch sends a small frame together with those queued after it.
func (l *Link) writeBatch(frame []byte) error {
	batch := frame[:len(frame):len(frame)]
	for range len(l.frameQueue) {
		if len(batch) >= writeBatchBytes {
			break
		}
		batch = append(batch, <-l.frameQueue...)
	}
	l.uplink.RecordSent(len(batch))
	return l.writeTimed(batch)
}

func (l *Link) writeTimed(frames []byte) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := l.conn.Write(frames)
	return err
}
