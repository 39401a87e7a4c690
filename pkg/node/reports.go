package node

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/balance"
)

// reportingBalancer is a Balancer that reports instances to which no connection could be
// opened, so that the failure detector probes them immediately. It is safe for concurrent
// use.
type reportingBalancer struct {
	*balance.Balancer
	unreachable chan<- string
}

// Observe passes the result to the balancer and reports the instance if the call failed
// and was not executed, which means that no connection could be opened.
func (b reportingBalancer) Observe(now time.Time, e balance.Endpoint, r balance.Result) {
	b.Balancer.Observe(now, e, r)
	if !r.Failed || !r.NotRun {
		return
	}
	select {
	case b.unreachable <- e.Instance:
	default: // the queue is full; later failed calls report the instance again
	}
}

// runReports passes unreachable instances to the failure detector.
func (n *Node) runReports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case instance := <-n.unreachable:
			n.agent.ReportFailure(instance)
		}
	}
}
