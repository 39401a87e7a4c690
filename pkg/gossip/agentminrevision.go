package gossip

import (
	"context"
	"time"
)

// SetMinRevision establishes the minimum revision after a strongly consistent read of the
// head that began after this process started; revision 0 means that there is no head.
func (a *Agent) SetMinRevision(revision uint64) {
	_ = a.do(context.Background(), func(time.Time) []Packet {
		a.state.SetMinRevision(revision)
		return nil
	})
}

// EstablishMinRevision queries the minimum revision replicas and further peers for the
// lowest revision that this instance may serve. It returns a *MinRevisionError if not
// enough of them answer; the caller tries again or reads the head from the platform.
func (a *Agent) EstablishMinRevision(ctx context.Context) (uint64, error) {
	type result struct {
		revision uint64
		err      error
	}
	done := make(chan result, 1)
	err := a.do(ctx, func(now time.Time) []Packet {
		return a.state.EstablishMinRevision(now, func(revision uint64, err error) { done <- result{revision, err} })
	})
	if err != nil {
		return 0, err
	}
	r, err := await(ctx, a.stopped, done)
	if err != nil {
		return 0, err
	}
	return r.revision, r.err
}

// ReplicateMinRevision sends a revision, as this instance's next minimum revision, to the
// replicas before it is put in force. It returns the number of replicas that acknowledged
// within MinRevisionRounds; 0 if ctx ends or the agent stops before that.
func (a *Agent) ReplicateMinRevision(ctx context.Context, revision uint64) (acked int) {
	done := make(chan int, 1)
	err := a.do(ctx, func(now time.Time) []Packet {
		return a.state.ReplicateMinRevision(now, revision, func(n int) { done <- n })
	})
	if err != nil {
		return 0
	}
	acked, _ = await(ctx, a.stopped, done)
	return acked
}
