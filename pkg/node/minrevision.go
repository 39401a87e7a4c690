package node

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
)

// runMinRevision determines the minimum revision that the instance may serve: by a strongly
// consistent read from the platform or, if that fails, from the peers that are replicas of
// it. It retries until the minimum revision is known.
func (n *Node) runMinRevision(ctx context.Context) error {
	logged := false
	for {
		if n.fetchMinRevision(ctx) {
			return nil
		}
		if !logged {
			event.MinRevisionUnknown.Log()
			logged = true
		}
		if !sleep(ctx, jitter(minRevisionRetry)) {
			return nil
		}
	}
}

func (n *Node) fetchMinRevision(ctx context.Context) bool {
	head, found, err := n.acceptor.ReadHead(ctx)
	n.platform.observe(err)
	if err == nil {
		n.setMinRevision(head.Revision, "platform")
		if found {
			n.offer(ctx, head)
		}
		return true
	}
	minRevision, err := n.agent.EstablishMinRevision(ctx)
	if err != nil {
		return false
	}
	n.setMinRevision(minRevision, "peers")
	return true
}

func (n *Node) setMinRevision(revision uint64, source string) {
	n.store.RaiseMinRevision(revision)
	n.agent.SetMinRevision(revision)
	n.ready.set(func(r *readiness) { r.minRevisionKnown = true })
	event.MinRevisionKnown.Log("revision", revision, "source", source)
	close(n.minRevisionKnown)
}

// jitter returns a random wait between 0 and twice the mean, so that nodes that start at
// the same time do not send their requests at the same time.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(rand.Int64N(2 * int64(mean)))
}

// sleep waits for d. It returns false if ctx ends first.
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
