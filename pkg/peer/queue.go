package peer

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"
)

// queue holds the messages that wait to be sent to one peer. Its goroutine ends when
// nothing was sent for IdleTimeout.
type queue struct {
	messages chan []byte
}

// Send queues a message for an address; the message may be lost. Send never blocks and
// reports false if it dropped the message.
func (t *Transport) Send(addr string, payload []byte) bool {
	if len(payload) > MaxMessageBytes {
		t.metrics.dropped(dropTooLarge)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		t.metrics.dropped(dropClosed)
		return false
	}
	q, ok := t.queues[addr]
	if !ok {
		if len(t.queues) >= MaxQueues {
			t.metrics.dropped(dropQueueLimit)
			return false
		}
		q = &queue{messages: make(chan []byte, QueueSize)}
		t.queues[addr] = q
		t.tasks.Go(func() { t.sendQueue(addr, q) })
	}
	select {
	case q.messages <- payload:
		return true
	default:
		t.metrics.dropped(dropQueueFull)
		return false
	}
}

// sendQueue sends the messages of one queue.
func (t *Transport) sendQueue(addr string, q *queue) {
	idle := time.NewTimer(IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case payload := <-q.messages:
			t.deliver(addr, payload)
			idle.Reset(IdleTimeout)
		case <-idle.C:
			t.mu.Lock()
			if len(q.messages) == 0 { // Send holds the lock while it adds messages
				delete(t.queues, addr)
				t.mu.Unlock()
				return
			}
			t.mu.Unlock()
			idle.Reset(IdleTimeout)
		}
	}
}

func (t *Transport) deliver(addr string, payload []byte) {
	c, err := t.connect(t.ctx, addr)
	if err != nil {
		t.metrics.dropped(dropDial)
		return
	}
	c.noteSend(time.Now())
	if err := sendOn(t.ctx, c.quic, payload); err != nil {
		t.metrics.dropped(dropSend)
	}
}

// sendOn sends a message as a datagram if it fits, and otherwise on a stream of its own.
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
