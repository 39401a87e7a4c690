package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/member"
	"golang.org/x/sync/errgroup"
)

// ErrSuperseded is returned by Agent.Run when another process runs under the same
// instance name.
var ErrSuperseded = errors.New("gossip: another live process runs under this instance name with a later incarnation; stop this process")

// ErrStopped is returned by methods of an Agent that has stopped running.
var ErrStopped = errors.New("gossip: the agent has stopped; start a new one")

// Agent runs a State over a Transport. All methods may be called from any goroutine; they
// take effect while Run runs. Before Run, CommandSize of them are queued and further ones
// block. After Run, those without an error result do nothing.
type Agent struct {
	transport Transport
	name      string // this node's instance
	metrics   *metrics
	state     *State // owned by the loop goroutine
	rnd       *rand.Rand

	inbox      chan Message
	commands   chan func(now time.Time) []Packet
	revisions  chan Revision
	moveStates chan MoveState
	evidence   chan []byte
	stopped    chan struct{}

	members  atomic.Pointer[[]member.Member]
	watchers watcherSet

	delivered         uint64      // last revision sent to revisions; owned by the loop goroutine
	membersVersion    uint64      // table version of members; owned by the loop goroutine
	membersAt         time.Time   // time of the last list of members; owned by the loop goroutine
	pendingMoveStates []MoveState // owned by the loop goroutine
}

// NewAgent returns an agent for this node. An incarnation of 0 is replaced by the
// clock in milliseconds.
func NewAgent(self member.Member, transport Transport, opts Options) *Agent {
	if self.Incarnation == 0 {
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	rnd := opts.Rand
	if rnd == nil {
		rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	a := &Agent{
		transport: transport, name: self.Instance, metrics: newMetrics(opts.Registerer), rnd: rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())),
		inbox: make(chan Message, InboxSize), commands: make(chan func(time.Time) []Packet, CommandSize),
		revisions: make(chan Revision, 1), moveStates: make(chan MoveState, EvidenceSize),
		evidence: make(chan []byte, EvidenceSize), stopped: make(chan struct{}),
		watchers: watcherSet{m: map[chan []member.Member]struct{}{}},
	}
	a.state = NewState(self, rnd, a.metrics.refused)
	a.publishMembers(time.Time{})
	return a
}

// Run runs the agent until ctx ends, the instance is superseded or the transport fails. It
// returns nil if ctx was canceled, ErrSuperseded or the error of the transport. It is
// called once.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return a.transport.Run(ctx, func(p []byte, reply func([]byte) error) { a.receive(ctx, p, reply) })
	})
	g.Go(func() error { return a.loop(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}

// loop is the goroutine that owns the state.
func (a *Agent) loop(ctx context.Context) error {
	defer close(a.stopped)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		// A nil channel is never ready, so states are offered only if there are any.
		var states chan MoveState
		var next MoveState
		if len(a.pendingMoveStates) > 0 {
			states, next = a.moveStates, a.pendingMoveStates[0]
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.transmit(a.state.Tick(time.Now()))
		case m := <-a.inbox:
			a.handle(m)
		case command := <-a.commands:
			a.transmit(command(time.Now()))
		case states <- next:
			a.pendingMoveStates = a.pendingMoveStates[1:]
		}
		a.deliver()
		if a.state.Superseded() {
			return ErrSuperseded
		}
	}
}

// handle processes one message. A panic ends the processing of the message only; the
// protocol repeats what was lost.
func (a *Agent) handle(m Message) {
	defer contain.Recover(contain.PeerMessage, func(error) { a.metrics.refused("internal-error") })
	a.transmit(a.state.Handle(time.Now(), m))
}

// transmit encodes packets and sends them.
func (a *Agent) transmit(packets []Packet) {
	for i := range packets {
		p := &packets[i]
		data, err := Encode(p.Message)
		if err != nil {
			a.metrics.refused("encode")
			continue
		}
		if !a.transport.Send(p.To, data) {
			a.metrics.dropped("outgoing")
			continue
		}
		a.metrics.sent(p.Kind(), len(data))
	}
}

// deliver passes on what the last step changed: the newest revision, move states and
// members.
func (a *Agent) deliver() {
	if held := a.state.HeldRevision(); held > a.delivered {
		if r, ok := a.state.Revision(); ok {
			a.delivered = held
			select {
			case <-a.revisions: // replaced by the newer one
			default:
			}
			a.revisions <- r
			a.metrics.held.Set(float64(held))
		}
	}
	for _, m := range a.state.ChangedMoveStates() {
		a.addPendingMoveState(m)
	}
	a.publishMembers(time.Now())
}

// addPendingMoveState merges a move state into those not yet read, so that the queue of a
// slow reader has at most one entry per move.
func (a *Agent) addPendingMoveState(m MoveState) {
	for i := range a.pendingMoveStates {
		if a.pendingMoveStates[i].Move == m.Move {
			a.pendingMoveStates[i] = a.pendingMoveStates[i].Merge(m)
			return
		}
	}
	a.pendingMoveStates = append(a.pendingMoveStates, m)
}

// do queues a command for the loop goroutine.
func (a *Agent) do(ctx context.Context, command func(now time.Time) []Packet) error {
	select {
	case a.commands <- command:
		return nil
	case <-a.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call queues a command for the loop goroutine and waits until it has run.
func (a *Agent) call(ctx context.Context, command func(now time.Time) []Packet) error {
	done := make(chan struct{})
	err := a.do(ctx, func(now time.Time) []Packet {
		defer close(done)
		return command(now)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-a.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Revisions returns the channel of complete, checked revisions at or above the minimum
// revision, in ascending order. A revision that has not been read is replaced by a newer
// one. Nothing is delivered before the minimum revision is established.
func (a *Agent) Revisions() <-chan Revision { return a.revisions }

// MoveStates returns the channel of merged move states that have changed.
func (a *Agent) MoveStates() <-chan MoveState { return a.moveStates }

// Evidence returns the channel of evidence payloads that were sent to this node.
func (a *Agent) Evidence() <-chan []byte { return a.evidence }

// MergeMoveState merges a move state that this node decided and spreads it.
func (a *Agent) MergeMoveState(m MoveState) {
	_ = a.do(context.Background(), func(now time.Time) []Packet {
		a.state.MergeMoveState(m)
		a.state.flush(now)
		return a.state.takePackets()
	})
}

// Offer stores a head read from the platform, with bodies by hash, and raises the minimum
// revision to it. It returns the hashes of bodies that are still missing; the agent also
// requests them from peers that hold the revision.
func (a *Agent) Offer(ctx context.Context, h config.Head, bodies map[string][]byte) (missing []string, err error) {
	err = a.call(ctx, func(now time.Time) []Packet {
		a.state.Offer(now, h, bodies)
		missing = a.state.MissingBodies(h)
		a.state.flush(now)
		return a.state.takePackets()
	})
	return missing, err
}

// MissingBodies returns the hashes of a head's bodies that this node does not hold.
func (a *Agent) MissingBodies(ctx context.Context, h config.Head) (missing []string, err error) {
	err = a.call(ctx, func(time.Time) []Packet {
		missing = a.state.MissingBodies(h)
		return nil
	})
	return missing, err
}

// Publish spreads a head that this node committed, with its new bodies by hash. It
// returns the instances that acknowledged within PublishTimeout, one per failure domain
// other than this node's. It returns early once PublishDomains failure domains have
// acknowledged, or all if fewer exist.
func (a *Agent) Publish(ctx context.Context, h config.Head, bodies map[string][]byte) (ackedBy []string) {
	done := make(chan []string, 1)
	if a.do(ctx, func(now time.Time) []Packet {
		return a.state.Publish(now, h, bodies, func(held []string) { done <- held })
	}) != nil {
		return nil
	}
	ackedBy, _ = await(ctx, a.stopped, done)
	return ackedBy
}

// SetInForce records that this node has put a revision in force.
func (a *Agent) SetInForce(revision uint64) {
	_ = a.do(context.Background(), func(now time.Time) []Packet {
		a.state.SetInForce(now, revision)
		return nil
	})
}

// SetUpstream announces the upstream of this instance.
func (a *Agent) SetUpstream(u member.Upstream) {
	_ = a.do(context.Background(), func(now time.Time) []Packet {
		return a.state.UpdateSelf(now, func(m *member.Member) { m.Upstream = u })
	})
}

// ReportFailure reports a failed call to a member, which is then probed at the next tick.
func (a *Agent) ReportFailure(instance string) {
	_ = a.do(context.Background(), func(time.Time) []Packet {
		a.state.ReportFailure(instance)
		return nil
	})
}

// await waits for the result of an operation of the state, until the agent stops or ctx
// ends.
func await[T any](ctx context.Context, stopped <-chan struct{}, done <-chan T) (T, error) {
	var zero T
	select {
	case v := <-done:
		return v, nil
	case <-stopped:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// watcherSet holds the channels of WatchMembers.
type watcherSet struct {
	mu sync.Mutex
	m  map[chan []member.Member]struct{}
}
