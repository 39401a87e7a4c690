package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/backend"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Options of a gate.
type Options struct {
	Tracker *instance.Tracker
	Client  *backend.Client
	Ledger  *ledger.Ledger
	// Drain bounds how long after its acknowledged leave a server gets requests.
	Drain    time.Duration
	Observer Observer
	Running  *InFlight
	Uplink   *uplink.Scheduler
}

// Controller runs requests at the server beside the node. It is safe for concurrent
// use; mu guards the line and the observations.
type Controller struct {
	opts Options

	mu      sync.Mutex
	line    *Queue
	times   *serviceTimes
	sizes   *responseSizes
	failing failures
	closed  bool
}

// New returns a gate that refuses until the tracker knows a server.
func New(opts Options) *Controller {
	return &Controller{opts: opts, line: NewQueue(0), times: newServiceTimes(), sizes: newResponseSizes()}
}

// Do runs the request at the server, or refuses it. A request that must not run
// twice is not ended by the context once it has started.
func (g *Controller) Do(ctx context.Context, req *call.Request) call.Response {
	job, server, refused := g.admit(time.Now(), req)
	if refused != nil {
		return g.withLoad(*refused)
	}
	defer job.release()
	if why, after := g.await(ctx, job); why != "" {
		return g.withLoad(call.Refused(why, after))
	}
	res := g.run(ctx, job, server, req)
	return g.withLoad(res)
}

// Load returns the present load of the gate.
func (g *Controller) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, waiting, slots := g.line.Load()
	now := time.Now()
	return call.Load{
		Running: running, Waiting: waiting, Slots: slots, ServiceTime: g.times.mean(),
		FailureRate: g.failing.rate(now), UplinkBacklog: g.opts.Uplink.Backlog(now),
	}
}

// ServerChanged applies a new incarnation or state of the server to the line.
func (g *Controller) ServerChanged(now time.Time) {
	server, ok := g.opts.Tracker.Current(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok {
		g.line.RefuseAll(reason.NoUpstream)
		return
	}
	g.line.SetSlots(now, server.Slots)
}

// NewIncarnation forgets what was observed of the previous server.
func (g *Controller) NewIncarnation(now time.Time) {
	g.opts.Client.Close()
	g.mu.Lock()
	g.failing = failures{}
	g.mu.Unlock()
	g.ServerChanged(now)
}

// Close refuses new requests from now on; running and waiting ones go on.
func (g *Controller) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *Controller) withLoad(r call.Response) call.Response {
	r.Load = g.Load()
	return r
}

// admit checks the request against the server and offers it to the line.
func (g *Controller) admit(now time.Time, req *call.Request) (*Job, instance.Server, *call.Response) {
	refuse := func(why reason.Refusal, after time.Duration) (*Job, instance.Server, *call.Response) {
		r := call.Refused(why, after)
		return nil, instance.Server{}, &r
	}
	server, ok := g.opts.Tracker.Current(now)
	switch {
	case !ok:
		return refuse(reason.NoUpstream, 0)
	case server.Service != req.Service || (req.Instance != "" && req.Instance != server.Incarnation()):
		return refuse(reason.StaleTarget, 0)
	case server.State != instance.Ready:
		return refuse(reason.Draining, 0)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return refuse(reason.Draining, 0)
	}
	cost := g.times.of(req.Route)
	job := NewJob(rank(req), cost, latestStart(now, req, cost))
	if why, after := g.offer(now, req, job); why != "" {
		return refuse(why, after)
	}
	return job, server, nil
}

// offer offers the job to the line unless the link could not carry its response on
// time, and reserves the link for the response. The caller holds mu.
func (g *Controller) offer(now time.Time, req *call.Request, job *Job) (reason.Refusal, time.Duration) {
	size := g.sizes.of(req.Route)
	if size < uplink.PartBytes {
		return g.line.Offer(now, job)
	}
	backlog := g.opts.Uplink.Backlog(now)
	if late := transmissionEnd(now, backlog, job.Cost, g.opts.Uplink.Duration(size)).Sub(req.SoftDeadline); late > 0 {
		return reason.UplinkFull, min(max(late, minRetryAfter), maxRetryAfter)
	}
	why, after := g.line.Offer(now, job)
	if why == "" {
		job.release = g.opts.Uplink.Reserve(size)
	}
	return why, after
}

// await waits for the job's turn.
func (g *Controller) await(ctx context.Context, job *Job) (reason.Refusal, time.Duration) {
	select {
	case why := <-job.decided:
		return why, g.retryAfter(why)
	default:
	}
	timer := time.NewTimer(time.Until(job.Latest))
	defer timer.Stop()
	var why reason.Refusal
	select {
	case why = <-job.decided:
		return why, g.retryAfter(why)
	case <-timer.C:
		why = reason.QueueDeadline
	case <-ctx.Done():
		why = reason.Canceled
	}
	g.mu.Lock()
	if g.line.Cancel(job) {
		after := g.line.RetryAfter(time.Now())
		g.mu.Unlock()
		return why, after
	}
	g.mu.Unlock()
	decided := <-job.decided
	if decided != "" || why != reason.Canceled {
		return decided, g.retryAfter(decided)
	}
	g.finish(job) // started as the caller left; give the slot back unused
	return reason.Canceled, 0
}

func (g *Controller) retryAfter(why reason.Refusal) time.Duration {
	if why == "" {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line.RetryAfter(time.Now())
}

func (g *Controller) finish(job *Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.line.Finish(time.Now(), job)
}

// run sends the request to the server. The slot is free again when it returns.
func (g *Controller) run(ctx context.Context, job *Job, server instance.Server, req *call.Request) call.Response {
	defer g.finish(job)
	now := time.Now()
	if why := g.fence(now, server); why != "" {
		return call.Refused(why, 0)
	}
	if !now.Before(req.Deadline) {
		return call.Refused(reason.QueueDeadline, 0)
	}
	if !req.Kind.Idempotent() {
		switch why := g.opts.Ledger.Admit(now, req.CallID, req.Deadline); why {
		case "":
		case reason.OutcomeUnknown:
			return call.Response{Refusal: why, Ran: reason.RanUnknown, ReachedServer: true}
		default:
			return call.Refused(why, 0)
		}
		ctx = context.WithoutCancel(ctx)
	}
	g.opts.Running.add(req.ID)
	defer g.opts.Running.remove(req.ID)
	res := g.opts.Client.Do(ctx, req, server.ID)
	took := time.Since(now)
	g.observe(ctx, req, server.Version, res, took)
	if !req.Kind.Idempotent() {
		g.opts.Ledger.Finish(time.Now(), req.CallID, ledgerAnswer(res))
	}
	return res
}

// fence refuses what may no longer start: the server has left or was replaced
// while the request waited.
func (g *Controller) fence(now time.Time, server instance.Server) reason.Refusal {
	current, ok := g.opts.Tracker.Current(now)
	if !ok || current.Incarnation() != server.Incarnation() {
		return reason.StaleTarget
	}
	left := g.opts.Tracker.LeavingSince()
	if !left.IsZero() && now.Sub(left) > time.Duration(fenceShare*float64(g.opts.Drain)) {
		return reason.Draining
	}
	return ""
}

// observe learns from an outcome. When the caller has left, only a server that took far
// longer than usual is held to have failed.
func (g *Controller) observe(ctx context.Context, req *call.Request, version string, res call.Response, took time.Duration) {
	left := ctx.Err() != nil
	now := time.Now()
	g.mu.Lock()
	if !left || took > hangFactor*g.times.of(req.Route) {
		g.failing.observe(now, left || Failed(res))
	}
	if !left && res.Answered() && !Failed(res) { // failures are often faster than service
		g.times.observe(req.Route, took)
		g.sizes.observe(req.Route, len(res.Body))
	}
	g.mu.Unlock()
	if !left {
		g.opts.Observer.Served(now, req, version, res, took)
	}
}

// Failed reports whether the outcome counts against the server.
func Failed(res call.Response) bool {
	return res.Status == 0 || res.Status >= http.StatusInternalServerError || res.Ran == reason.RanNo
}
