package explain

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/dispatch"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Steps of an Outcome.
const (
	stepNode       = "node"
	stepRoute      = "route"
	stepKey        = "key"
	stepLimit      = "limit"
	stepBudgets    = "budgets"
	stepCandidates = "candidates"
)

// maxCandidates bounds the answer of a node in a large mesh.
const maxCandidates = 500

// Explain returns where the node would send a request now, and why. It changes no state.
func (s Sources) Explain(now time.Time, q Question) Answer {
	host := q.Host
	p := s.Dispatcher.Preview(now, dispatch.Query{Host: host, Path: q.Path, Account: q.Account, BodyBytes: q.BodyBytes, Nested: q.Nested})
	if hosts := hostsOf(p.Table); host == "" && len(hosts) == 1 {
		host = hosts[0]
		p = s.Dispatcher.Preview(now, dispatch.Query{Host: host, Path: q.Path, Account: q.Account, BodyBytes: q.BodyBytes, Nested: q.Nested})
	}
	a := Answer{Node: Node{Instance: s.Instance, FailureDomain: s.FailureDomain}, Candidates: []Candidate{}}
	a.Budgets = s.budgets(q, p)
	if p.Table == nil {
		a.Route.Problem = "the node has no configuration yet"
		a.Outcome = refusal(stepNode, reason.NotReady)
		return a
	}
	a.Node.Configuration = p.Table.Version
	if p.Route == nil {
		a.Route.Problem = noRoute(q, p.Table)
		a.Outcome = refusal(stepRoute, reason.NoRoute)
		return a
	}
	a.Route = routeOf(now, p)
	a.Key = &Key{Needed: p.KeyNeeded, Accepted: p.Fresh || p.Table.Accounts == nil, FreshMs: s.FreshMs(), Refusal: string(p.KeyRefusal)}
	if p.Account != nil {
		a.Key.Account = p.Account.Name
	}
	if p.NeedsToken {
		a.Limit = s.limit(p)
	}
	a.Candidates, a.CandidatesOmitted = s.candidates(now, p)
	a.Versions = "preferred"
	if p.Fallback {
		a.Versions = "fallback"
	}
	if s.Service == p.Request.Service {
		a.OwnServer = s.ownServer(now, p)
	}
	a.Outcome = outcome(a, p)
	return a
}

// outcome returns the first decision that ends the way of the request, in the order of
// dispatch.Dispatcher.Serve.
func outcome(a Answer, p dispatch.Preview) Outcome {
	switch {
	case a.Budgets.BodyTooLarge:
		return Outcome{Action: ActionRefuse, Step: stepBudgets, Status: http.StatusRequestEntityTooLarge, Reason: string(reason.BadRequest)}
	case p.KeyRefusal != "":
		return refusal(stepKey, p.KeyRefusal)
	case p.NoMemory:
		o := refusal(stepBudgets, reason.Memory)
		o.Action = ActionWait
		return o
	case p.Draining:
		return refusal(stepNode, reason.Draining)
	case a.Limit != nil && a.Limit.Action != ActionSend:
		return Outcome{Action: a.Limit.Action, Step: stepLimit, Status: a.Limit.Status, Reason: a.Limit.Reason, RetryAfterMs: a.Limit.RetryAfterMs}
	case p.NoServer != "":
		return refusal(stepCandidates, p.NoServer)
	}
	return Outcome{Action: ActionSend, Step: stepCandidates}
}

func refusal(step string, why reason.Refusal) Outcome {
	return Outcome{Action: ActionRefuse, Step: step, Status: dispatch.RefusalStatus(why), Reason: string(why)}
}

func hostsOf(t *routing.Table) []string {
	if t == nil {
		return nil
	}
	return t.Hosts()
}

// noRoute returns why no route of the configuration matches.
func noRoute(q Question, t *routing.Table) string {
	switch {
	case q.Host == "" && len(t.Hosts()) > 1:
		return "the configuration has several hosts; give the host of the request"
	case q.Host != "" && !t.HasHost(q.Host):
		return "no route has the host"
	}
	return "no route of the host has a prefix of the path"
}

func routeOf(now time.Time, p dispatch.Preview) Route {
	r := p.Route
	return Route{
		Matched: true, Name: r.Name, Host: r.Host, Service: p.Request.Service, Kind: r.Kind.String(), Priority: p.Request.Priority,
		DeadlineMs: ms(p.Request.Deadline.Sub(now)), TargetMs: ms(p.Request.SoftDeadline.Sub(now)), Attempts: r.Attempts,
	}
}

func (s Sources) limit(p dispatch.Preview) *Limit {
	l := &Limit{RatePerS: p.Account.RatePerSecond, Burst: p.Account.Burst, Action: ActionSend}
	o, ok := s.Availability(p.Account)
	if !ok {
		o = quota.Availability{Exhausted: true, Verdict: quota.Verdict{RetryAfter: s.TokenWait}}
	}
	l.Tokens, l.Waiting, l.DemandPerS = o.Tokens, o.Waiting, o.PerSecond
	if o.Tokens > 0 {
		return l
	}
	why := o.Verdict.Refusal()
	l.Status, l.Reason, l.RetryAfterMs = dispatch.RefusalStatus(why), string(why), ms(o.Verdict.RetryAfter)
	l.Action = ActionRefuse
	if !o.Exhausted {
		l.Action, l.WaitMs = ActionWait, ms(s.TokenWait)
	}
	return l
}

func (s Sources) budgets(q Question, p dispatch.Preview) Budgets {
	b := Budgets{MemoryBytes: s.Memory.Used(), MemoryLimitBytes: s.Memory.Limit(), MemoryShort: p.NoMemory, BodyLimitBytes: routing.DefaultLimits.MaxBodyBytes}
	b.ClientConnections, b.ClientConnectionLimit = s.Connections()
	if p.Table != nil {
		b.BodyLimitBytes = p.Table.Limits.MaxBodyBytes
	}
	b.BodyTooLarge = q.BodyBytes > b.BodyLimitBytes
	return b
}

// candidates returns the servers, the most probable first, and the number of those left out.
func (s Sources) candidates(now time.Time, p dispatch.Preview) ([]Candidate, int) {
	out := make([]Candidate, 0, len(p.Candidates))
	known := make(map[string]bool)
	for _, c := range p.Candidates {
		known[c.Node] = true
		out = append(out, candidateOf(now, c))
	}
	for _, absent := range s.Absent(p.Request.Service) {
		if !known[absent.Node] {
			out = append(out, Candidate{Node: absent.Node, Instance: absent.Instance, FailureDomain: absent.FailureDomain, Excluded: absent.Excluded})
		}
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Node, b.Node))
	})
	omitted := max(len(out)-maxCandidates, 0)
	return out[:len(out)-omitted], omitted
}

func candidateOf(now time.Time, c placement.Candidate) Candidate {
	age := func(at time.Time) *float64 {
		if at.IsZero() {
			return nil
		}
		v := ms(now.Sub(at))
		return &v
	}
	out := Candidate{
		Instance: c.Server.Incarnation, Node: c.Node, FailureDomain: c.Server.FailureDomain, Version: c.Server.Version,
		Slots: c.Server.Slots, SlotsAgeMs: age(c.AnnouncedAt),
		Running: c.Load.Running, Waiting: c.Load.Waiting, LearnedLimit: c.Load.Slots, LoadAgeMs: age(c.LoadAt),
		FailureRate: c.FailureRate, FailureRateAgeMs: age(c.FailureRateAt),
		ServiceTimeMs: ms(c.RouteTime), ServiceTimeAgeMs: age(c.RouteTimeAt),
		NetworkMs: ms(c.Network), InFlight: c.InFlight, Unreported: c.Unreported, Cold: c.Server.Limited && c.Server.ColdLimit,
		Excluded: string(c.Exclusion), EstimatedMs: ms(c.Cost), Probability: c.Probability,
	}
	if c.Server.Limited {
		out.RequestLimitPerS = &c.Server.RequestLimit
	}
	return out
}

// ownServer returns what the node's own server would do with the request, with the time that the
// selector sets aside for the delivery of its response.
func (s Sources) ownServer(now time.Time, p dispatch.Preview) *OwnServer {
	req := p.Request
	for _, c := range p.Candidates {
		if c.Node == s.Instance {
			req.Instance, req.SoftDeadline = c.Server.Incarnation, req.SoftDeadline.Add(-c.DeliveryTime)
		}
	}
	a := s.Admission.Preview(now, &req)
	o := &OwnServer{
		Action: ActionWait, Ahead: a.Ahead, WaitMs: ms(a.Wait), Reason: string(a.Refusal), RetryAfterMs: ms(a.RetryAfter),
		ServiceTimeMs: ms(a.Cost), Running: a.Running, Waiting: a.Waiting, LearnedLimit: a.Slots, Cold: a.Cold,
	}
	switch {
	case a.Refusal != "":
		o.Action = ActionRefuse
	case a.Starts:
		o.Action = ActionSend
	}
	return o
}

// ms returns the duration in milliseconds, to the microsecond.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
