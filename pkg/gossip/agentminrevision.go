package gossip

import (
	"context"
	"time"
)

// SetMinRevision establishes the floor after a strongly consistent read of the head that
// began after this process started; revision 0 means that there is no head.
func (a *Agent) SetMinRevision(revision uint64) {
	_ = a.do(context.Background(), func(time.Time) []Packet {
		a.state.SetMinRevision(revision)
		return nil
	})
}

// EstablishMinRevision asks the floor keepers and further peers for the lowest revision that
// this instance may serve. It returns a *FloorError until both keepers answered; the
// caller tries again or reads the head from the platform.
func (a *Agent) EstablishMinRevision(ctx context.Context) (uint64, error) {
	type result struct {
		floor uint64
		err   error
	}
	done := make(chan result, 1)
	err := a.do(ctx, func(now time.Time) []Packet {
		return a.state.EstablishMinRevision(now, func(floor uint64, err error) { done <- result{floor, err} })
	})
	if err != nil {
		return 0, err
	}
	r, err := await(ctx, a.stopped, done)
	if err != nil {
		return 0, err
	}
	return r.floor, r.err
}

// ReplicateMinRevision sends a revision to this instance's floor keepers, before it is put in
// force. It returns the number of keepers that acknowledged within FloorRounds.
func (a *Agent) ReplicateMinRevision(ctx context.Context, revision uint64) (kept int) {
	done := make(chan int, 1)
	err := a.do(ctx, func(now time.Time) []Packet {
		return a.state.ReplicateMinRevision(now, revision, func(n int) { done <- n })
	})
	if err != nil {
		return 0
	}
	kept, _ = await(ctx, a.stopped, done)
	return kept
}
