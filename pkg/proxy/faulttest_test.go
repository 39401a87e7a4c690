package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// countingUpstream is an upstream that responds with a body derived from the request id, and
// counts the executions of each id.
type countingUpstream struct {
	mu         sync.Mutex
	executions map[string]int
	rnd        *rand.Rand
	// latency bounds the random time that a request takes.
	latency time.Duration
}

func newCountingUpstream(latency time.Duration) *countingUpstream {
	return &countingUpstream{executions: make(map[string]int), latency: latency, rnd: rand.New(rand.NewPCG(envSeed(), 5))}
}

func (c *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")
	c.mu.Lock()
	c.executions[id]++
	latency := time.Duration(c.rnd.Float64() * float64(c.latency))
	c.mu.Unlock()
	time.Sleep(latency)
	fmt.Fprint(w, expected(id))
}

// expected returns the complete response body for a request id. Some bodies are larger
// than the buffers of the proxies.
func expected(id string) string {
	size := 20
	if strings.HasSuffix(id, "7") {
		size = 5000
	}
	return strings.Repeat(id+" ", size)
}

// faultTest sends calls through a mesh while faults are injected. It then checks the recorded
// responses and executions: a response is complete and belongs to its request, a call
// reported as not run has not run, and a non-repeatable call runs at most once.
type faultTest struct {
	*mesh
	relays    []*faultRelay
	counters  []*countingUpstream
	number    atomic.Int64
	mu        sync.Mutex
	responses map[string]result
	posts     int
}

// faultTime is how long faults are injected. The timeouts of the calls are much longer, so
// that calls on a busy machine don't time out with an unknown outcome.
const faultTime = 2500 * time.Millisecond

// newFaultTest starts the given number of nodes, each behind a faultRelay.
func newFaultTest(t *testing.T, nodes int, latency time.Duration) *faultTest {
	service := defaultService()
	service.TimeoutMS, service.AttemptTimeoutMS = 15000, 8000
	return newFaultTestOf(t, nodes, latency, service)
}

func newFaultTestOf(t *testing.T, nodes int, latency time.Duration, service config.Service) *faultTest {
	p := &faultTest{mesh: newMesh(t, service), responses: make(map[string]result)}
	for i := range nodes {
		c := newCountingUpstream(latency)
		n := p.addNode(fmt.Sprintf("i%d", i), c)
		relay := newRelay(t, n.addr)
		n.dialAddr = relay.addr()
		p.relays, p.counters = append(p.relays, relay), append(p.counters, c)
	}
	p.update()
	return p
}

// sendCalls sends calls with concurrent workers until ctx ends; two thirds of the calls are not
// repeatable.
func (p *faultTest) sendCalls(ctx context.Context, workers int) {
	client := newClient(p.t)
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for ctx.Err() == nil {
				p.sendOne(client)
			}
		})
	}
	wait.Wait()
}

// callsBeforeFaults is the number of calls before the first fault in tests in which every call
// must succeed. Refused calls are retried at another node at the cost of the retry budget,
// which is filled by earlier calls.
const callsBeforeFaults = 200

func (p *faultTest) awaitCalls(n int64) {
	for p.number.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

func (p *faultTest) sendOne(client *http.Client) {
	n := p.number.Add(1)
	method, id := "POST", fmt.Sprintf("post-%d", n)
	if n%3 == 0 {
		method, id = "GET", fmt.Sprintf("get-%d", n)
	}
	var body *strings.Reader
	if method == "POST" {
		body = strings.NewReader("order " + id)
	} else {
		body = strings.NewReader("")
	}
	got := p.do(context.Background(), client, method, "/x", body, http.Header{"X-Id": {id}})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses[id] = got
	if method == "POST" {
		p.posts++
	}
}

func (p *faultTest) runs(id string) int {
	total := 0
	for _, c := range p.counters {
		c.mu.Lock()
		total += c.executions[id]
		c.mu.Unlock()
	}
	return total
}

// check fails the test if a call violates an invariant or no call succeeded.
func (p *faultTest) check() {
	p.t.Helper()
	ok := 0
	for id, got := range p.responses {
		if fault := violation(id, got, p.runs(id)); fault != "" {
			p.t.Error(fault)
		}
		if got.err == nil && got.status == http.StatusOK {
			ok++
		}
	}
	if ok == 0 {
		p.t.Error("no call succeeded")
	}
}

// violation describes the invariant that the response to a call violates, given how often
// the call ran; it returns "" if there is none. An error in the result means that the
// caller noticed the failure.
func violation(id string, got result, runs int) string {
	repeatable := strings.HasPrefix(id, "get")
	ran, refused := got.header.Get(HeaderRan), got.header.Get(HeaderRefused)
	switch {
	case !repeatable && runs > 1:
		return fmt.Sprintf("double execution: %s ran %d times", id, runs)
	case got.err != nil:
		return ""
	case ran == string(reason.RanNo) && runs > 0:
		return fmt.Sprintf("false refusal: %s was reported as not run (%s), but ran %d times", id, refused, runs)
	case got.status == http.StatusOK && runs == 0:
		return fmt.Sprintf("wrong response: %s got a response, but never ran", id)
	case got.status == http.StatusOK && got.body != expected(id):
		return fmt.Sprintf("wrong response: %s got a wrong or truncated body of %d bytes, want %d", id, len(got.body), len(expected(id)))
	}
	return ""
}

// Guards against a violation function that overlooks a violated invariant or reports a
// correct call.
func TestViolations(t *testing.T) {
	notRun, whole := http.Header{HeaderRan: {"no"}}, result{status: 200, body: expected("post-1")}
	for _, tc := range []struct {
		id   string
		got  result
		runs int
		want string
	}{
		{"post-1", whole, 1, ""},
		{"post-1", whole, 2, "double execution: "},
		{"get-1", result{status: 200, body: expected("get-1")}, 2, ""},
		{"post-1", result{err: io.ErrUnexpectedEOF}, 2, "double execution: "},
		{"post-1", result{err: io.ErrUnexpectedEOF}, 1, ""},
		{"post-1", result{status: 503, header: notRun}, 0, ""},
		{"post-1", result{status: 503, header: notRun}, 1, "false refusal: "},
		{"get-1", result{status: 503, header: notRun}, 1, "false refusal: "},
		{"post-1", result{status: 502, header: http.Header{HeaderRan: {"unknown"}}}, 1, ""},
		{"post-1", result{status: 200, body: whole.body[:30]}, 1, "wrong response: "},
		{"post-1", result{status: 200, body: expected("post-2")}, 1, "wrong response: "},
		{"post-1", whole, 0, "wrong response: "},
	} {
		if got := violation(tc.id, tc.got, tc.runs); !strings.HasPrefix(got, tc.want) || (got == "") != (tc.want == "") {
			t.Errorf("%s, %d runs, status %d: %q, want %q", tc.id, tc.runs, tc.got.status, got, tc.want)
		}
	}
}

// report logs how many outcomes of non-repeatable calls stayed unknown with outcome
// queries, and how many would be unknown under the simple rule that gives up whenever a
// connection breaks after bytes were sent.
func (p *faultTest) report(fault string) (simple, unknown int) {
	count := func(c prometheus.Counter) int { return int(testutil.ToFloat64(c)) }
	results := map[string]int{}
	for _, r := range []string{resultNotRun, resultAnswered, resultRanLost, resultUnknown, resultUnreached} {
		results[r] = count(p.metrics.queries.WithLabelValues(r))
		simple += results[r]
	}
	unknown = results[resultUnknown] + results[resultUnreached]
	errs, statuses := 0, map[int]int{}
	for _, got := range p.responses {
		if got.err != nil {
			errs++
		} else {
			statuses[got.status]++
		}
	}
	p.t.Logf("%s: %d calls, %d non-repeatable, statuses %v, aborted %d, reported unknown %d; lost connections after bytes were sent: %d (simple rule: unknown %.2f%%), queries %v (ledger: unknown %.2f%%); stalled %d",
		fault, len(p.responses), p.posts, statuses, errs,
		count(p.metrics.unknown), simple, 100*float64(simple)/float64(max(p.posts, 1)), results,
		100*float64(unknown)/float64(max(p.posts, 1)), count(p.metrics.stalled.WithLabelValues(kindPeer)))
	return simple, unknown
}

// injectFaults calls inject until ctx ends, at random intervals of period/2 to 3*period/2.
func injectFaults(ctx context.Context, period time.Duration, inject func(rnd *rand.Rand)) {
	rnd := rand.New(rand.NewPCG(envSeed(), 99))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(period/2 + time.Duration(rnd.Int64N(int64(period)))):
			inject(rnd)
		}
	}
}

// Guards against double executions, false "not run" and truncated responses when open
// connections between nodes are closed, reset, frozen or closed within a response, while
// new connections work.
func TestProofConnectionFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		period time.Duration
		inject func(r *faultRelay, rnd *rand.Rand)
	}{
		{"closed", 100 * time.Millisecond, func(r *faultRelay, _ *rand.Rand) { r.kill(false) }},
		{"reset", 100 * time.Millisecond, func(r *faultRelay, _ *rand.Rand) { r.kill(true) }},
		{"frozen", 700 * time.Millisecond, func(r *faultRelay, _ *rand.Rand) { r.freeze(true, true) }},
		{"frozen-up", 700 * time.Millisecond, func(r *faultRelay, _ *rand.Rand) { r.freeze(true, false) }},
		{"frozen-down", 700 * time.Millisecond, func(r *faultRelay, _ *rand.Rand) { r.freeze(false, true) }},
		{"cut", 100 * time.Millisecond, func(r *faultRelay, rnd *rand.Rand) { r.cut(1 + rnd.Int64N(20000)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newFaultTest(t, 3, 30*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), faultTime)
			defer cancel()
			go injectFaults(ctx, tc.period, func(rnd *rand.Rand) { tc.inject(p.relays[rnd.IntN(len(p.relays))], rnd) })
			p.sendCalls(ctx, 12)
			p.check()
			simple, unknown := p.report(tc.name)
			if simple == 0 {
				t.Errorf("the fault hit no non-repeatable call")
			}
			if unknown > 0 {
				t.Errorf("%d outcomes stayed unknown although the nodes could be reached", unknown)
			}
		})
	}
}
