package node

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// runPoll reads the head row from the platform at a jittered interval, so that an accepted
// revision reaches the node even if no peer sends it.
func (n *Node) runPoll(ctx context.Context) error {
	for sleep(ctx, pollWait(len(n.agent.Members()), rand.Float64())) {
		head, found, err := n.acceptor.ReadHead(ctx)
		n.platform.observe(err)
		if err != nil || !found {
			continue
		}
		current := n.store.Current()
		if current != nil && current.Revision() >= head.Revision {
			continue
		}
		n.offer(ctx, head)
	}
	return nil
}

// pollWait returns the time until the next read in a mesh with the given number of members;
// random must be uniform in [0, 1). The time grows with the mesh, so that all nodes
// together stay within platformReadShare.
func pollWait(members int, random float64) time.Duration {
	mean := max(pollInterval, time.Duration(members)*time.Second/platformReadShare)
	return time.Duration(float64(mean) * (1 + pollJitter*(2*random-1)))
}

// offer passes a head read from the platform to the agent, with the section bodies that
// the agent does not have yet. A body that cannot be read is obtained from peers or by
// the next poll.
func (n *Node) offer(ctx context.Context, head config.Head) {
	missing, err := n.agent.MissingBodies(ctx, head)
	if err != nil {
		return
	}
	bodies := map[string][]byte{}
	for _, hash := range missing {
		body, err := n.acceptor.ReadBody(ctx, hash)
		if err != nil {
			continue
		}
		bodies[hash] = body
	}
	// An error means that the agent, and therefore the node, has stopped.
	_, _ = n.agent.Offer(ctx, head, bodies)
}
