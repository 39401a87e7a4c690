package link

import "sync"

// sendQueue holds the frames that wait to be written. While it is empty it holds no memory
// for them and needs no writing goroutine, since most links of a large mesh are idle. It is
// safe for concurrent use; mu guards the state.
type sendQueue struct {
	// added has a value after a frame or transfer was added.
	added chan struct{}

	mu        sync.Mutex
	frames    [][]byte // frames below uplink.PartBytes
	transfers []*transfer
	writing   bool // a goroutine writes the queued frames
	// unwritten holds the channels to notify once all small frames are written.
	unwritten []chan<- struct{}
	closed    bool
}

func newSendQueue() sendQueue { return sendQueue{added: make(chan struct{}, 1)} }

// addFrame queues a small frame. It returns false if the queue is full or closed.
func (q *sendQueue) addFrame(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.frames) >= outboundFrames {
		return false
	}
	q.frames = append(q.frames, frame)
	q.notify()
	return true
}

// addTransfer queues a large frame. It returns false if the queue is full or closed.
func (q *sendQueue) addTransfer(t *transfer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.transfers) >= outboundTransfers {
		return false
	}
	q.transfers = append(q.transfers, t)
	q.notify()
	return true
}

func (q *sendQueue) notify() {
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// notifyWritten sends to the channel, without blocking, once all small frames queued so far
// are written. After close it never does.
func (q *sendQueue) notifyWritten(c chan<- struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unwritten = append(q.unwritten, c)
	if !q.writing && !q.closed {
		q.reportWritten()
	}
}

// reportWritten notifies the channels of notifyWritten. The caller holds mu.
func (q *sendQueue) reportWritten() {
	for _, c := range q.unwritten {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	q.unwritten = nil
}

// beginWriting reports whether the caller must start a writing goroutine.
func (q *sendQueue) beginWriting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.writing || q.closed {
		return false
	}
	q.writing = true
	return true
}

// endWriting reports whether the writing goroutine may end because the queue is empty.
func (q *sendQueue) endWriting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = len(q.frames) > 0 || len(q.transfers) > 0
	return !q.writing
}

// close refuses later frames and returns the queued large ones.
func (q *sendQueue) close() []*transfer {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := q.transfers
	q.frames, q.transfers, q.unwritten, q.closed = nil, nil, nil, true
	return left
}

// takeFrames removes and returns small frames: the first one, and those after it until
// limit bytes are exceeded. It returns nil if there are none. The caller must have written
// those that it took before.
func (q *sendQueue) takeFrames(limit int) [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		q.reportWritten()
		return nil
	}
	n, size := 0, 0
	for n < len(q.frames) && (n == 0 || size < limit) {
		size += len(q.frames[n])
		n++
	}
	out := q.frames[:n:n]
	if q.frames = q.frames[n:]; len(q.frames) == 0 {
		q.frames = nil
	}
	return out
}

// takeTransfer removes and returns the first large frame, or nil if there is none.
func (q *sendQueue) takeTransfer() *transfer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.transfers) == 0 {
		return nil
	}
	t := q.transfers[0]
	if q.transfers = q.transfers[1:]; len(q.transfers) == 0 {
		q.transfers = nil
	}
	return t
}
