package sidecar

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/netconn"
	"corianderwood.example/corianderwood/pkg/reason"
)

// relinkPollInterval is how often a call that has lost its link checks for a new one.
const relinkPollInterval = 20 * time.Millisecond

// peer is another node that this node sends requests to. It implements placement.Executor
// for that node's server.
type peer struct {
	name    string
	address string
	peers   *peers
	stop    context.CancelFunc
	// fromHello is true if the address comes from the node's Hello frame, not from
	// its row.
	fromHello bool
	link      atomic.Pointer[link.Link]
}

func portText(port int) string { return strconv.Itoa(port) }

// run keeps a link to the peer open until ctx ends. It reconnects with exponential
// backoff and jitter.
func (p *peer) run(ctx context.Context) {
	wait := redialMin
	for ctx.Err() == nil {
		lasted, err := p.runLink(ctx)
		if ctx.Err() != nil {
			return
		}
		if lasted > redialMax {
			wait = redialMin
		}
		if wait == redialMin {
			event.PeerDown.LogError(err, "peer", p.name, "address", p.address)
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, redialMax)
	}
}

// runLink opens one link and runs it until it closes. It returns how long the link was
// established, which does not include the time to open it.
func (p *peer) runLink(ctx context.Context) (lasted time.Duration, err error) {
	conn, err := netconn.Dial(ctx, p.address)
	if err != nil {
		p.peers.dialFailed(p.name, err)
		return 0, err
	}
	n := p.peers.node
	l, err := link.Open(ctx, conn, n.hello(), (*handler)(n), n.links)
	if err != nil {
		_ = conn.Close()
		return 0, err
	}
	var established time.Time
	err = l.Run(func(l *link.Link) {
		established = time.Now()
		p.link.Store(l)
		n.metrics.peersUp.Inc()
		event.PeerUp.Log("peer", p.name, "address", p.address, "process", l.Peer.Process)
		_ = l.Send(link.KindVersions, n.versions()) // after a lost link, the next one sends them again
	})
	if p.link.CompareAndSwap(l, nil) {
		n.election.remove(p.name)
		n.metrics.peersUp.Dec()
		n.metrics.linksLost.Inc()
		lasted = time.Since(established)
	}
	n.selector.Remove(p.name, p)
	return lasted, err
}

// Do sends a request to the peer. If the link is lost before the response arrives, it
// queries the outcome of a request that must not be executed twice.
func (p *peer) Do(ctx context.Context, req *call.Request) call.Response {
	l := p.link.Load()
	if l == nil {
		return call.Refused(reason.PeerConnect, 0)
	}
	res := l.Do(ctx, req)
	if res.Refusal != reason.PeerFailed || req.Kind.Idempotent() {
		return res
	}
	return p.outcome(ctx, l, req, res)
}

// Responsive implements placement.Executor.
func (p *peer) Responsive() bool {
	l := p.link.Load()
	return l != nil && !l.Silent()
}

// outcome queries the outcome of a request over a new link to the peer. It returns
// unknown if the context ends first or the peer has restarted, because the outcomes are
// lost with the process.
func (p *peer) outcome(ctx context.Context, lost *link.Link, req *call.Request, unknown call.Response) call.Response {
	tick := time.NewTicker(relinkPollInterval)
	defer tick.Stop()
	for {
		if l := p.link.Load(); l != nil && l != lost {
			if l.Peer.Process != lost.Peer.Process {
				return unknown
			}
			if res := l.Outcome(ctx, req.CallID, req.Deadline); res.Refusal != reason.PeerFailed {
				return res
			}
			lost = l
		}
		select {
		case <-ctx.Done():
			return unknown
		case <-tick.C:
		}
	}
}
