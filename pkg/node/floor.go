package node

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
)

// runFloor establishes the lowest revision that the instance may serve: from a
// strongly consistent read of the platform or, if it does not answer, from the
// floor keepers. It ends when the floor is known.
func (n *Node) runFloor(ctx context.Context) error {
	logged := false
	for {
		if n.establishFloor(ctx) {
			return nil
		}
		if !logged {
			event.MinRevisionUnknown.Log()
			logged = true
		}
		if !sleep(ctx, jitter(floorRetry)) {
			return nil
		}
	}
}

func (n *Node) establishFloor(ctx context.Context) bool {
	head, found, err := n.acceptor.ReadHead(ctx)
	n.platform.observe(err)
	if err == nil {
		n.setFloor(head.Revision, "platform")
		if found {
			n.offer(ctx, head)
		}
		return true
	}
	floor, err := n.agent.EstablishMinRevision(ctx)
	if err != nil {
		return false
	}
	n.setFloor(floor, "peers")
	return true
}

func (n *Node) setFloor(revision uint64, source string) {
	n.store.RaiseMinRevision(revision)
	n.agent.SetMinRevision(revision)
	n.ready.set(func(r *readiness) { r.floor = true })
	event.MinRevisionKnown.Log("revision", revision, "source", source)
	close(n.floorKnown)
}

// jitter returns a wait between 0 and twice the mean, so that nodes that start
// together do not ask together.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(rand.Int64N(2 * int64(mean)))
}

// sleep waits and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
