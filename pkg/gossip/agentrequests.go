package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// RefusedError is returned when a peer refuses a request.
type RefusedError struct {
	Addr string
	Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("gossip: peer %s refused the request (%s); retry in %v", e.Addr, e.Reason, e.Wait)
}

// ErrNoPeers is returned by Join when no address is given.
var ErrNoPeers = errors.New("gossip: no peer addresses to join; set peers in the settings or read the member rows")

// evidenceQueueFull is the refusal of evidence for which the queue has no room.
const evidenceQueueFull reason.Refusal = "evidence-queue"

// receive decodes one message from the transport and queues or serves it.
func (a *Agent) receive(ctx context.Context, payload []byte, reply func([]byte) error) {
	m, err := Decode(payload)
	if err != nil {
		a.metrics.refused("malformed")
		return
	}
	a.metrics.received(m.Kind(), len(payload))
	switch {
	case reply == nil:
		select {
		case a.inbox <- m:
		default:
			a.metrics.dropped("inbox")
		}
	case m.Join != nil:
		a.serveJoin(ctx, m, reply)
	case m.Evidence != nil:
		a.serveEvidence(ctx, m, reply)
	default:
		a.metrics.refused("unknown-request")
	}
}

func (a *Agent) serveJoin(ctx context.Context, m Message, reply func([]byte) error) {
	var response Message
	var transfer uint64
	err := a.call(ctx, func(now time.Time) []Packet {
		response, transfer = a.state.HandleJoin(now, m)
		return a.state.takePackets()
	})
	if err != nil {
		return
	}
	a.sendResponse(response, reply)
	if transfer != 0 {
		_ = a.do(ctx, func(time.Time) []Packet {
			a.state.EndTransfer(transfer)
			return nil
		})
	}
}

func (a *Agent) serveEvidence(ctx context.Context, m Message, reply func([]byte) error) {
	var response Message
	if a.call(ctx, func(time.Time) []Packet { response.From = a.state.sender(); return nil }) != nil {
		return
	}
	select {
	case a.evidence <- m.Evidence:
	default:
		a.metrics.dropped("evidence")
		response.Refusal = &Refusal{Reason: evidenceQueueFull, Wait: time.Second}
	}
	a.sendResponse(response, reply)
}

func (a *Agent) sendResponse(m Message, reply func([]byte) error) {
	data, err := Encode(m)
	if err != nil {
		a.metrics.refused("encode")
		return
	}
	if reply(data) == nil {
		a.metrics.sent(m.Kind(), len(data))
	}
}

// request sends a request and returns the response, or a *RefusedError.
func (a *Agent) request(ctx context.Context, addr string, m Message) (Message, error) {
	data, err := Encode(m)
	if err != nil {
		return Message{}, err
	}
	a.metrics.sent(m.Kind(), len(data))
	raw, err := a.transport.Request(ctx, addr, data)
	if err != nil {
		return Message{}, err
	}
	response, err := Decode(raw)
	if err != nil {
		return Message{}, err
	}
	a.metrics.received(response.Kind(), len(raw))
	if response.Refusal != nil {
		a.metrics.refused("peer-" + string(response.Refusal.Reason))
		return response, &RefusedError{Addr: addr, Refusal: *response.Refusal}
	}
	return response, nil
}

// SendEvidence sends an evidence payload to an instance and returns when the instance has
// queued it for its Evidence channel.
func (a *Agent) SendEvidence(ctx context.Context, instance string, payload []byte) error {
	if len(payload) > MaxEvidenceBytes || len(payload) == 0 {
		return fmt.Errorf("gossip: evidence payload has %d B; it must have between 1 and %d B", len(payload), MaxEvidenceBytes)
	}
	if instance == a.name {
		select {
		case a.evidence <- payload:
			return nil
		default:
			a.metrics.dropped("evidence")
			return &RefusedError{Addr: instance, Refusal: Refusal{Reason: evidenceQueueFull, Wait: time.Second}}
		}
	}
	addr, ok := a.addrOf(instance)
	if !ok {
		return fmt.Errorf("gossip: instance %s is not a live member; choose the deciders again", instance)
	}
	var m Message
	if err := a.call(ctx, func(time.Time) []Packet { m.From = a.state.sender(); return nil }); err != nil {
		return err
	}
	m.Evidence = payload
	_, err := a.request(ctx, addr, m)
	return err
}

// Join requests the full state from one peer at a time, with full jitter between
// attempts, until one answers, JoinAttempts attempts per address have failed, or ctx
// ends. A refusal does not count as a failure; the peers listed in it are tried too.
// Without addresses Join returns ErrNoPeers, and the agent counts as joined.
func (a *Agent) Join(ctx context.Context, addrs []string) error {
	if len(addrs) == 0 {
		_ = a.call(ctx, func(time.Time) []Packet { a.state.SetJoined(); return nil })
		return ErrNoPeers
	}
	a.AddHints(addrs)
	known := append([]string(nil), addrs...)
	failures := 0
	for {
		wait, err := a.joinOnce(ctx, &known)
		if err == nil {
			return nil
		}
		if wait == 0 {
			wait = joinBackoff(failures)
			failures++
		}
		if failures >= JoinAttempts*len(addrs) {
			return fmt.Errorf("gossip: none of %d known peers sent the full state; use other peer addresses: %w", len(known), err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gossip: join canceled before any of %d known peers sent the full state: %w", len(known), errors.Join(ctx.Err(), err))
		case <-time.After(a.jitter(ctx, wait)):
		}
	}
}

// AddHints adds addresses at which members may run; Join adds those given to it.
func (a *Agent) AddHints(addrs []string) {
	_ = a.do(context.Background(), func(time.Time) []Packet {
		a.state.AddHints(addrs)
		return nil
	})
}

// joinBackoff returns the maximum wait before the next attempt: 100 ms doubling to 3.2 s.
func joinBackoff(attempt int) time.Duration {
	return 100 * time.Millisecond << min(attempt, 5)
}

// jitter returns a random time up to d.
func (a *Agent) jitter(ctx context.Context, d time.Duration) (out time.Duration) {
	out = d
	_ = a.call(ctx, func(time.Time) []Packet {
		out = time.Duration(a.rnd.Int64N(int64(d) + 1))
		return nil
	})
	return out
}

// joinOnce sends a join request to one random peer. On a refusal it returns the wait that
// the peer requested.
func (a *Agent) joinOnce(ctx context.Context, known *[]string) (time.Duration, error) {
	var m Message
	var addr string
	if err := a.call(ctx, func(time.Time) []Packet {
		m = a.state.JoinRequest()
		addr = (*known)[a.rnd.IntN(len(*known))]
		return nil
	}); err != nil {
		return 0, err
	}
	rctx, cancel := context.WithTimeout(ctx, JoinTimeout)
	defer cancel()
	response, err := a.request(rctx, addr, m)
	var refused *RefusedError
	if errors.As(err, &refused) {
		for _, other := range refused.Others {
			if len(*known) < 64 {
				*known = append(*known, other)
			}
		}
		return refused.Wait, err
	}
	if err != nil {
		return 0, err
	}
	return 0, a.call(ctx, func(now time.Time) []Packet { return a.state.ApplyFullState(now, response) })
}
