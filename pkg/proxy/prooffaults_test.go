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

// Guards against "not run" and against doubles when the upstream's node restarts
// between a request and its answer: its ledger is lost, so the outcome of a call that
// it had begun must be unknown.
func TestProofNodeRestart(t *testing.T) {
	p := newProof(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), proofTime)
	defer cancel()
	go faults(ctx, 300*time.Millisecond, func(rnd *rand.Rand) {
		i := rnd.IntN(len(p.nodes))
		n := p.nodes[i]
		n.peer.Close()
		n.incarnation++
		p.startPeer(n)
		p.update()
	})
	p.load(ctx, 12)
	p.check()
	simple, unknown := p.report("node restart")
	if simple == 0 || unknown == 0 {
		t.Errorf("the restarts hit no call: %d lost connections, %d unknown outcomes", simple, unknown)
	}
	if unknown > simple {
		t.Errorf("%d outcomes unknown, more than the %d of the simple rule", unknown, simple)
	}
}

// Guards against a second run, a false "not run" or a cut answer when the upstream
// crashes in the middle of calls.
func TestProofUpstreamCrash(t *testing.T) {
	p := newProof(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), proofTime)
	defer cancel()
	go faults(ctx, 300*time.Millisecond, func(rnd *rand.Rand) {
		n := p.nodes[rnd.IntN(len(p.nodes))]
		n.upstream.Close()
		n.startUpstream(t)
	})
	p.load(ctx, 12)
	p.check()
	p.report("upstream crash")
}

// Guards against faults that break an invariant only in combination: connections of
// all kinds of faults, restarts of nodes and crashes of upstreams at the same time.
func TestProofMixedFaults(t *testing.T) {
	p := newProof(t, 4, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*proofTime)
	defer cancel()
	go faults(ctx, 150*time.Millisecond, func(rnd *rand.Rand) {
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
	p.load(ctx, 16)
	p.check()
	if simple, unknown := p.report("mixed"); unknown > simple {
		t.Errorf("%d outcomes unknown, more than the %d of the simple rule", unknown, simple)
	}
}

// Guards against a bar that doesn't hold: a call delayed on its way must not run
// after its entrance was told that it did not.
func TestProofDelayedCallStaysBarred(t *testing.T) {
	p := newProof(t, 1, 0)
	p.one(newClient(t)) // opens a connection
	n := p.nodes[0]
	target := Target{n.instance, n.incarnation}
	id := p.entrance.ids.next()
	pool := p.entrance.peers.of(n.dialAddr)
	conn, err := pool.get(t.Context(), idleTimeout)
	if err != nil {
		t.Fatal(err)
	}
	report, err := p.entrance.outcomes.resolve(t.Context(), n.dialAddr, target, id)
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

// Guards against silent connections that cost new calls or are noticed late: after
// the connections freeze, calls that begin within the next second end in time, and
// calls after it meet no silent connection.
func TestProofSilentNoticedWithinOneSecond(t *testing.T) {
	p := newProof(t, 1, 0)
	warm, cancel := context.WithCancel(t.Context())
	go func() { p.awaitCalls(callsBefore); cancel() }()
	p.load(warm, 8)
	for _, r := range p.relays {
		r.freeze(true, true)
	}
	frozen := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	p.load(ctx, 8)
	cancel()
	if over := time.Since(frozen) - time.Second; over > time.Second {
		t.Errorf("calls that began within 1 s of the freeze ended %v after it", over)
	}
	p.report("freeze")
	silent := p.metrics.silent.WithLabelValues(kindPeer)
	before := testutil.ToFloat64(silent)
	after, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	p.load(after, 8)
	if got := testutil.ToFloat64(silent); got != before {
		t.Errorf("%v connections were still silent 1 s after the freeze", got-before)
	}
	p.check()
	for id, got := range p.answers {
		if got.err != nil || got.status != http.StatusOK {
			t.Errorf("%s failed: status %d, error %v", id, got.status, got.err)
		}
	}
}
