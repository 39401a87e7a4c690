package peer

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"
)

// queue holds the messages that wait for one peer. Its goroutine ends when nothing
// was sent for IdleTimeout.
type queue struct {
	messages chan []byte
}

// Send queues a message for an address; it may be lost. It never blocks and reports
// false if it dropped the message.
func (l *Transport) Send(addr string, payload []byte) bool {
	if len(payload) > MaxMessageBytes {
		l.metrics.dropped(dropTooLarge)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		l.metrics.dropped(dropClosed)
		return false
	}
	q, ok := l.queues[addr]
	if !ok {
		if len(l.queues) >= MaxQueues {
			l.metrics.dropped(dropQueueLimit)
			return false
		}
		q = &queue{messages: make(chan []byte, QueueSize)}
		l.queues[addr] = q
		l.tasks.Go(func() { l.drain(addr, q) })
	}
	select {
	case q.messages <- payload:
		return true
	default:
		l.metrics.dropped(dropQueueFull)
		return false
	}
}

// drain sends the messages of one queue.
func (l *Transport) drain(addr string, q *queue) {
	idle := time.NewTimer(IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case payload := <-q.messages:
			l.deliver(addr, payload)
			idle.Reset(IdleTimeout)
		case <-idle.C:
			l.mu.Lock()
			if len(q.messages) == 0 { // Send holds the lock while it adds messages
				delete(l.queues, addr)
				l.mu.Unlock()
				return
			}
			l.mu.Unlock()
			idle.Reset(IdleTimeout)
		}
	}
}

func (l *Transport) deliver(addr string, payload []byte) {
	c, err := l.connect(l.ctx, addr)
	if err != nil {
		l.metrics.dropped(dropDial)
		return
	}
	c.sending(time.Now())
	if err := sendOn(l.ctx, c.quic, payload); err != nil {
		l.metrics.dropped(dropSend)
	}
}

// sendOn sends a message as a datagram if it fits and else on a stream of its own.
func sendOn(ctx context.Context, q *quic.Conn, payload []byte) error {
	if len(payload) <= MaxDatagramBytes {
		err := q.SendDatagram(payload)
		var tooLarge *quic.DatagramTooLargeError
		if !errors.As(err, &tooLarge) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, StreamTimeout)
	defer cancel()
	s, err := q.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = s.SetWriteDeadline(time.Now().Add(StreamTimeout))
	if _, err := s.Write(payload); err != nil {
		s.CancelWrite(0)
		return err
	}
	return s.Close()
}
