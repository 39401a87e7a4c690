package admission

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/backend"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Options configures a Controller.
type Options struct {
	Tracker *instance.Tracker
	Client  *backend.Client
	Ledger  *ledger.Ledger
	// Drain is how long a server still runs requests after the node acknowledged that
	// it is draining. In the first part of this time, queued requests still start; new
	// ones are refused.
	Drain time.Duration
	// FailureDomain is that of the node's instance.
	FailureDomain string
	Observer      Observer
	Running       *InFlight
	Uplink        *uplink.Scheduler
	// Freezes tells of freezes of this process; nil if they do not matter.
	Freezes Freezes
	// Weight returns the share of a client account when the server is short of room; nil means
	// that all have the same.
	Weight func(account string) float64
}

// Controller admits requests to the local server and runs them. It is safe for
// concurrent use; mu guards the queue, the statistics and closed.
type Controller struct {
	opts Options
	// unsynced is the number of requests that wait for an answer after a freeze.
	unsynced atomic.Int64

	mu       sync.Mutex
	queue    *Queue
	times    *serviceTimes
	slowness machineSlowness
	limit    *concurrencyLimit
	sizes    *responseSizes
	failures failureTracker
	coldness coldness
	// evacuated holds the failure domains whose servers get no requests. It is not changed.
	evacuated map[string]bool
	closed    bool
	// starter starts waiting jobs when the server's limit allows it; nil until the first
	// job has waited for the limit.
	starter *time.Timer
}

// New returns a Controller that refuses all requests until the tracker knows a server.
func New(opts Options) *Controller {
	return &Controller{opts: opts, queue: NewQueue(0), times: newServiceTimes(), limit: newConcurrencyLimit(0), sizes: newResponseSizes()}
}

// Responsive implements placement.Executor: no network lies between the node and its own
// server.
func (c *Controller) Responsive() bool { return true }

// Do runs the request at the server or refuses it. Once a non-idempotent request has
// started, cancellation of ctx does not interrupt it, because its outcome must be
// recorded.
func (c *Controller) Do(ctx context.Context, req *call.Request) (res call.Response) {
	defer contain.Recover(contain.ServerRequest, func(error) { res = c.withLoad(req.Route, outcomeUnknown()) })
	freezes := c.freezes()
	if why := c.awaitSynced(ctx, req); why != "" {
		return c.withLoad(req.Route, call.Refused(why, minRetryAfter))
	}
	job, server, refused := c.admit(time.Now(), req)
	if refused != nil {
		return c.withLoad(req.Route, *refused)
	}
	job.freezes = freezes
	defer job.releaseUplink()
	if why, after := c.await(ctx, job); why != "" {
		return c.withLoad(req.Route, call.Refused(why, after))
	}
	return c.withLoad(req.Route, c.run(ctx, job, server, req))
}

// Load returns the current load of the server and of the uplink. The service time is that of
// the given route, or 0 if none was observed; an empty route stands for all.
func (c *Controller) Load(route string) call.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	running, waiting, slots := c.queue.Load()
	now := time.Now()
	return call.Load{
		Running: running, Waiting: waiting, Slots: slots, ServiceTime: c.slowness.stretch(now, c.times.observed(route)),
		FailureRate: c.failures.rate(now), UplinkBacklog: c.opts.Uplink.Backlog(now),
	}
}

// ServiceTime returns the expected service time of a request of the route whose response is due
// within target.
func (c *Controller) ServiceTime(route string, target time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.times.expected(route, target)
}

// ServerChanged updates the queue after a change of the server's state or slots. It
// refuses all queued requests if there is no server.
func (c *Controller) ServerChanged(now time.Time) {
	server, ok := c.opts.Tracker.Current(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.queue.RefuseAll(reason.NoUpstream)
		return
	}
	if c.limit.slots != server.Slots {
		c.limit = newConcurrencyLimit(server.Slots)
	}
	c.queue.SetSlots(now, c.learnedSlots())
	c.scheduleStart(now)
}

// SetLimit limits the requests per second at the server, as an earlier process of this
// node knew it from the server's responses.
func (c *Controller) SetLimit(now time.Time, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetLimit(now, rate)
}

// scheduleStart starts waiting jobs once the server's limit allows it. The caller holds
// mu.
func (c *Controller) scheduleStart(now time.Time) {
	wait, ok := c.queue.NextStart(now)
	switch {
	case !ok:
	case c.starter == nil:
		c.starter = time.AfterFunc(wait, c.startWaiting)
	default:
		c.starter.Reset(wait)
	}
}

func (c *Controller) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.queue.Advance(now)
	c.scheduleStart(now)
}

// NewIncarnation discards the idle connections to the previous server process and its
// failure rate.
func (c *Controller) NewIncarnation(now time.Time) {
	c.opts.Client.Close()
	c.mu.Lock()
	c.failures, c.slowness, c.limit = failureTracker{}, machineSlowness{}, newConcurrencyLimit(0)
	c.queue.ClearLimit(now, now)
	c.mu.Unlock()
	c.ServerChanged(now)
}

// Close refuses all later requests; running and queued requests continue.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *Controller) withLoad(route string, r call.Response) call.Response {
	r.Load = c.Load(route)
	return r
}

// admit checks that the server may run the request and queues it.
func (c *Controller) admit(now time.Time, req *call.Request) (*Job, instance.Server, *call.Response) {
	refuse := func(why reason.Refusal, after time.Duration) (*Job, instance.Server, *call.Response) {
		r := call.Refused(why, after)
		return nil, instance.Server{}, &r
	}
	server, why := c.target(now, req)
	if why != "" {
		return refuse(why, 0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if why := c.closedTo(server); why != "" {
		return refuse(why, 0)
	}
	if c.mayBeNew(server) {
		c.coldness.suspect(now) // its first heartbeat is about to be recorded
		c.applyColdness(now)
	}
	job := c.newJob(now, req)
	if why, after := c.offer(now, req, job); why != "" {
		return refuse(why, after)
	}
	c.scheduleStart(now)
	return job, server, nil
}

// target returns the server if it is the one that the request is for and runs requests, otherwise the
// reason of the refusal.
func (c *Controller) target(now time.Time, req *call.Request) (instance.Server, reason.Refusal) {
	server, ok := c.opts.Tracker.Current(now)
	switch {
	case !ok:
		return server, reason.NoUpstream
	case server.Service != req.Service || (req.Instance != "" && req.Instance != server.Incarnation()):
		return server, reason.StaleTarget
	case server.State != instance.Ready:
		return server, reason.Draining
	}
	return server, ""
}

// closedTo returns why the node sends the server no requests; empty if it does. The caller holds mu.
func (c *Controller) closedTo(server instance.Server) reason.Refusal {
	switch {
	case c.closed:
		return reason.Draining
	case c.isEvacuated(server):
		return reason.Evacuated
	}
	return ""
}

// mayBeNew reports whether the server may be cold because no heartbeat of it was recorded yet. The
// caller holds mu.
func (c *Controller) mayBeNew(server instance.Server) bool {
	return c.queue.LimitsCold() && c.coldness.incarnation != server.Incarnation()
}

// newJob returns the job of a request. The caller holds mu.
func (c *Controller) newJob(now time.Time, req *call.Request) *Job {
	cost := c.slowness.stretch(now, c.times.expected(req.Route, req.SoftDeadline.Sub(now)))
	job := NewJob(rank(now, req, cost), cost, latestStart(now, req, cost))
	job.Account, job.Weight = req.Account, c.weight(req.Account)
	return job
}

func (c *Controller) weight(account string) float64 {
	if c.opts.Weight == nil {
		return minAccountWeight
	}
	return c.opts.Weight(account)
}

// offer queues the job. If a large response is expected, it also reserves uplink
// bandwidth for it, and refuses the job if the uplink could not send the response by the
// soft deadline. The caller holds mu.
func (c *Controller) offer(now time.Time, req *call.Request, job *Job) (reason.Refusal, time.Duration) {
	size, late := c.uplinkUse(now, req, job)
	if late > 0 {
		return reason.UplinkFull, uplinkRetryAfter(late)
	}
	why, after := c.queue.Offer(now, job)
	if why == "" && size > 0 {
		job.releaseUplink = c.opts.Uplink.Reserve(size)
	}
	return why, after
}

// uplinkUse returns the bytes of a large response that is expected, 0 if it is not large, and by how
// much too late the uplink could send it. The caller holds mu.
func (c *Controller) uplinkUse(now time.Time, req *call.Request, job *Job) (size int, late time.Duration) {
	size = c.sizes.expected(req.Route)
	if size < uplink.PartBytes {
		return 0, 0
	}
	backlog := c.opts.Uplink.Backlog(now)
	return size, transmissionEnd(now, backlog, job.Cost, c.opts.Uplink.Duration(size)).Sub(responseDue(now, req, job.Cost))
}

// uplinkRetryAfter returns when a request may come again whose response would have been late.
func uplinkRetryAfter(late time.Duration) time.Duration {
	return min(max(late, minRetryAfter), maxRetryAfter)
}

// await blocks until the job may run or is refused.
func (c *Controller) await(ctx context.Context, job *Job) (reason.Refusal, time.Duration) {
	select {
	case why := <-job.decision:
		return why, c.retryAfter(why)
	default:
	}
	timer := time.NewTimer(time.Until(job.LatestStart))
	defer timer.Stop()
	var why reason.Refusal
	select {
	case why = <-job.decision:
		return why, c.retryAfter(why)
	case <-timer.C:
		why = reason.QueueDeadline
	case <-ctx.Done():
		why = reason.Canceled
	}
	c.mu.Lock()
	if c.queue.Cancel(job) {
		after := c.queue.RetryAfter(time.Now())
		c.mu.Unlock()
		return why, after
	}
	c.mu.Unlock()
	decided := <-job.decision
	if decided != "" || why != reason.Canceled {
		return decided, c.retryAfter(decided)
	}
	c.finish(job, false) // started while its caller canceled: free the unused slot
	return reason.Canceled, 0
}

func (c *Controller) retryAfter(why reason.Refusal) time.Duration {
	if why == "" {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.RetryAfter(time.Now())
}

// finish frees the slot of a job. counted tells whether it was a request to the server: one that
// was not sent or that the server took for one to another instance is none.
func (c *Controller) finish(job *Job, counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !counted {
		c.queue.Unsent(now, job)
	}
	c.queue.Finish(now, job)
	c.scheduleStart(now)
}

// run sends the request to the server and frees the slot when it returns.
func (c *Controller) run(ctx context.Context, job *Job, server instance.Server, req *call.Request) (res call.Response) {
	counted := false
	defer func() { c.finish(job, counted) }()
	now := time.Now()
	if why := c.checkServer(now, server); why != "" {
		return call.Refused(why, 0)
	}
	if c.freezes() != job.freezes {
		return call.Refused(reason.Frozen, minRetryAfter)
	}
	if !now.Before(req.Deadline) {
		return call.Refused(reason.QueueDeadline, 0)
	}
	if !req.Kind.Idempotent() {
		switch why := c.opts.Ledger.Admit(now, req.CallID, req.Deadline); why {
		case "":
		case reason.OutcomeUnknown:
			return outcomeUnknown()
		default:
			return call.Refused(why, 0)
		}
		ctx = context.WithoutCancel(ctx)
		res = outcomeUnknown()
		defer func() { c.opts.Ledger.Finish(time.Now(), req.CallID, ledgerOutcome(res)) }()
	}
	c.opts.Running.add(req.ID)
	defer c.opts.Running.remove(req.ID)
	counted = true // also after a panic
	res = c.opts.Client.Do(ctx, req, server.ID)
	counted = res.ReachedServer && res.Status != http.StatusMisdirectedRequest
	took := time.Since(now)
	if res.Status != 0 {
		c.applyNotice(now, server, res)
		c.opts.Observer.Noticed(server.Incarnation(), res.Notice, res.NoticeErr)
	}
	if res.Refusal != reason.Memory { // the node's shortage, not the server's failure
		c.observe(ctx, req, server.Version, res, took, job.running)
	}
	return res
}

// applyNotice applies the limit that the server names in the response to a request that
// was sent at the given time, or the end of the limit.
func (c *Controller) applyNotice(sent time.Time, server instance.Server, res call.Response) {
	now := time.Now()
	current, ok := c.opts.Tracker.Current(now)
	if !ok || current.Incarnation() != server.Incarnation() || res.NoticeErr != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if res.Notice.Limited {
		c.queue.SetLimit(now, res.Notice.RequestLimit)
	} else {
		c.queue.ClearLimit(now, sent)
	}
	c.scheduleStart(now)
}

// checkServer refuses a request whose server has left, was replaced or was evacuated while the
// request was queued. A draining server starts queued requests only in the first part of the
// drain time.
func (c *Controller) checkServer(now time.Time, server instance.Server) reason.Refusal {
	current, ok := c.opts.Tracker.Current(now)
	if !ok || current.Incarnation() != server.Incarnation() {
		return reason.StaleTarget
	}
	c.mu.Lock()
	evacuated := c.isEvacuated(server)
	c.mu.Unlock()
	if evacuated {
		return reason.Evacuated
	}
	leavingSince := c.opts.Tracker.LeavingSince()
	if !leavingSince.IsZero() && now.Sub(leavingSince) > time.Duration(drainStartShare*float64(c.opts.Drain)) {
		return reason.Draining
	}
	return ""
}

// timedOut reports whether a request whose context has ended had used up its time at the server,
// and that time was enough for the usual service time. The context does not tell: the node that
// received the request cancels it at its deadline as well as when the caller leaves. The caller
// holds mu.
func (c *Controller) timedOut(now time.Time, req *call.Request, res call.Response, took time.Duration) bool {
	given := req.Deadline.Sub(now) + took
	return res.ReachedServer && took >= c.times.expected(req.Route, 0) && float64(took) >= usedUpShare*float64(given)
}

// observe records an outcome in the statistics. If the caller canceled the request before its
// time was up, the server only counts as failing if it took much longer than usual.
func (c *Controller) observe(ctx context.Context, req *call.Request, version string, res call.Response, took time.Duration, running int) {
	now := time.Now()
	c.mu.Lock()
	canceled := ctx.Err() != nil && !c.timedOut(now, req, res, took)
	if !canceled || took > hangFactor*c.times.expected(req.Route, 0) {
		c.failures.observe(now, canceled || Failed(res))
	}
	if !canceled && res.Answered() && !Failed(res) { // failures are often faster than regular responses
		normal := c.slowness.Observe(now, took, res.Notice.Slowness)
		c.times.observe(req.Route, normal)
		c.learnLimit(now, req.Route, normal, running, res.Notice.Slowness > 0)
		c.sizes.observe(req.Route, len(res.Body))
	}
	c.mu.Unlock()
	if !canceled {
		c.opts.Observer.Served(now, req, version, res, took)
	}
}

// Failed reports whether the response counts as a failure of the server: there is none,
// it is a server error, or the server did not run the request.
func Failed(res call.Response) bool {
	return res.Status == 0 || res.Status >= http.StatusInternalServerError || res.Ran == reason.RanNo
}
