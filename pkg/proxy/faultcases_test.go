package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against false "not run" and double executions when the upstream's node restarts
// while calls run. Its ledger is lost, so their outcome must be reported as unknown.
func TestProofNodeRestart(t *testing.T) {
	p := newFaultTest(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), faultTime)
	defer cancel()
	go injectFaults(ctx, 300*time.Millisecond, func(rnd *rand.Rand) {
		i := rnd.IntN(len(p.nodes))
		n := p.nodes[i]
		n.peer.Close()
		n.incarnation++
		p.startPeer(n)
		p.update()
	})
	p.sendCalls(ctx, 12)
	p.check()
	simple, unknown := p.report("node restart")
	if simple == 0 || unknown == 0 {
		t.Errorf("the restarts hit no call: %d lost connections, %d unknown outcomes", simple, unknown)
	}
	if unknown > simple {
		t.Errorf("%d outcomes unknown, more than the %d of the simple rule", unknown, simple)
	}
}

// Guards against double executions, false "not run" and truncated responses when the
// upstream crashes while calls run.
func TestProofUpstreamCrash(t *testing.T) {
	p := newFaultTest(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), faultTime)
	defer cancel()
	go injectFaults(ctx, 300*time.Millisecond, func(rnd *rand.Rand) {
		n := p.nodes[rnd.IntN(len(p.nodes))]
		n.upstream.Close()
		n.startUpstream(t)
	})
	p.sendCalls(ctx, 12)
	p.check()
	p.report("upstream crash")
}

// Guards against faults that violate an invariant only in combination: connection faults
// of all kinds, restarts of nodes and crashes of upstreams at the same time.
func TestProofMixedFaults(t *testing.T) {
	p := newFaultTest(t, 4, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*faultTime)
	defer cancel()
	go injectFaults(ctx, 150*time.Millisecond, func(rnd *rand.Rand) {
		i := rnd.IntN(len(p.nodes))
		n, relay := p.nodes[i], p.relays[i]
		switch rnd.IntN(6) {
		case 0:
			relay.kill(rnd.IntN(2) == 0)
		case 1, 2:
			relay.freeze(rnd.IntN(2) == 0, true)
		case 3:
			relay.cut(rnd.Int64N(20000))
		case 4:
			n.peer.Close()
			n.incarnation++
			p.startPeer(n)
			p.update()
		case 5:
			n.upstream.Close()
			n.startUpstream(t)
		}
	})
	p.sendCalls(ctx, 16)
	p.check()
	if simple, unknown := p.report("mixed"); unknown > simple {
		t.Errorf("%d outcomes unknown, more than the %d of the simple rule", unknown, simple)
	}
}

// Guards against a delayed call that runs although an outcome query has already reported
// it as not run.
func TestProofDelayedCallStaysFenced(t *testing.T) {
	p := newFaultTest(t, 1, 0)
	p.sendOne(newClient(t)) // opens a connection
	n := p.nodes[0]
	target := Target{n.instance, n.incarnation}
	id := p.callerServer.ids.next()
	pool := p.callerServer.peers.of(n.dialAddr)
	conn, err := pool.get(t.Context(), idleTimeout)
	if err != nil {
		t.Fatal(err)
	}
	report, err := p.callerServer.outcomes.resolve(t.Context(), n.dialAddr, target, id)
	if err != nil || report.Ran != reason.RanNo {
		t.Fatalf("report %+v, error %v, want not run", report, err)
	}
	req, _ := http.NewRequest("POST", "http://x/late", strings.NewReader("late"))
	req.Header.Set("X-Id", "late")
	callHeaders{id: id, target: target.String(), timeout: time.Second, depth: 1}.set(req.Header)
	x, err := start(t.Context(), pool, conn, exchangeRequest{req: req})
	if err != nil {
		t.Fatal(err)
	}
	if why := x.resp.Header.Get(HeaderRefused); why != string(reason.Fenced) || p.runs("late") != 0 {
		t.Errorf("the delayed call was answered %q and ran %d times", why, p.runs("late"))
	}
	x.abandon()
}

// Guards against stalled connections that are detected late. After all connections freeze,
// the calls that begin within the next second must end within one more second, and later
// calls must use no stalled connection.
func TestProofStallDetectedWithinOneSecond(t *testing.T) {
	p := newFaultTest(t, 1, 0)
	warm, cancel := context.WithCancel(t.Context())
	go func() { p.awaitCalls(callsBeforeFaults); cancel() }()
	p.sendCalls(warm, 8)
	for _, r := range p.relays {
		r.freeze(true, true)
	}
	frozen := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	p.sendCalls(ctx, 8)
	cancel()
	if over := time.Since(frozen) - time.Second; over > time.Second {
		t.Errorf("calls that began within 1 s of the freeze ended %v after it", over)
	}
	p.report("freeze")
	stalled := p.metrics.stalled.WithLabelValues(kindPeer)
	before := testutil.ToFloat64(stalled)
	after, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	p.sendCalls(after, 8)
	if got := testutil.ToFloat64(stalled); got != before {
		t.Errorf("%v connections were still stalled 1 s after the freeze", got-before)
	}
	p.check()
	for id, got := range p.responses {
		if got.err != nil || got.status != http.StatusOK {
			t.Errorf("%s failed: status %d, error %v", id, got.status, got.err)
		}
	}
}
