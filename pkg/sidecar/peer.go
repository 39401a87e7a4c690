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

// recoverPoll is how often a call that waits for a new link looks for one.
const recoverPoll = 20 * time.Millisecond

// peer is another node that this node sends requests to. It is the gate of that
// node for the board.
type peer struct {
	name    string
	address string
	peers   *peers
	stop    context.CancelFunc
	// introduced tells that the address is the node's own word, not its row.
	introduced bool
	link       atomic.Pointer[link.Link]
}

func portText(port int) string { return strconv.Itoa(port) }

// run keeps a link to the peer until the context ends.
func (p *peer) run(ctx context.Context) {
	wait := redialMin
	for ctx.Err() == nil {
		began := time.Now()
		err := p.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > redialMax {
			wait = redialMin
		}
		if wait == redialMin {
			event.PeerDown.LogError(err, "peer", p.name, "address", p.address)
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, redialMax)
	}
}

// once opens one link and runs it to its end.
func (p *peer) once(ctx context.Context) error {
	conn, err := netconn.Dial(ctx, p.address)
	if err != nil {
		return err
	}
	n := p.peers.node
	l, err := link.Open(ctx, conn, n.hello(), (*handler)(n), n.uplink)
	if err != nil {
		_ = conn.Close()
		return err
	}
	err = l.Run(func(l *link.Link) {
		p.link.Store(l)
		n.metrics.peersUp.Inc()
		event.PeerUp.Log("peer", p.name, "address", p.address, "process", l.Peer.Process)
		_ = l.Send(link.KindVersions, n.versions()) // a lost link greets again
	})
	if p.link.CompareAndSwap(l, nil) {
		n.duty.lost(p.name)
		n.metrics.peersUp.Dec()
		n.metrics.linksLost.Inc()
	}
	n.board.Remove(p.name, p)
	return err
}

// Do sends a request to the peer's gate. After a lost link it finds out what
// became of a request that must not run twice.
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

// outcome asks the peer over a new link. A restarted peer does not know.
func (p *peer) outcome(ctx context.Context, lost *link.Link, req *call.Request, unknown call.Response) call.Response {
	tick := time.NewTicker(recoverPoll)
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
