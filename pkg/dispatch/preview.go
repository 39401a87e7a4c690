package dispatch

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Query describes a request that a Preview is for.
type Query struct {
	Host, Path string
	// Account is the name of the account whose key the request has; empty for a request without one.
	Account   string
	BodyBytes int
	// Nested means that the local server sends the request while it runs another one.
	Nested bool
}

// Preview is what a Dispatcher would do with a request that arrives now and whose client names no
// deadline. The fields are in the order of the decisions; those after the first refusal tell what
// would follow without it.
type Preview struct {
	// Table is the configuration in force; nil if there is none.
	Table *routing.Table
	// Route is nil if none matches; nothing below is set then.
	Route *routing.Route
	// Fresh means that the configuration is current enough to accept keys.
	Fresh bool
	// KeyNeeded means that the request is refused without a key of an account.
	KeyNeeded bool
	// KeyRefusal is the reason to refuse the request for its key or the lack of one.
	KeyRefusal reason.Refusal
	// Account is the account of the request; nil without one.
	Account *account.Account
	// NoMemory means that the request would wait for memory, and be refused if there is none soon.
	NoMemory bool
	// Draining means that the node no longer accepts the request because it stops.
	Draining bool
	// NeedsToken means that the request takes a token of its account.
	NeedsToken bool
	// Request has the fields that follow from the route and the account.
	Request call.Request
	// Candidates are the servers of the service. Fallback means that they are judged by the versions
	// that count if none of the preferred versions has a server.
	Candidates []placement.Candidate
	Fallback   bool
	// NoServer is the reason of the refusal if no candidate can be chosen.
	NoServer reason.Refusal
}

// Preview returns what Serve would decide now, and changes nothing.
func (d *Dispatcher) Preview(now time.Time, q Query) Preview {
	p := Preview{Fresh: d.opts.Fresh == nil || d.opts.Fresh()} // before the table is read, as in Serve
	if p.Table = d.opts.Table(); p.Table == nil {
		return p
	}
	route, ok := p.Table.Match(q.Host, q.Path)
	if !ok {
		return p
	}
	p.Route = route
	c := credentials{accounts: p.Table.Accounts, public: route.Public, nested: q.Nested, fresh: p.Fresh}
	if c.accounts != nil {
		p.KeyNeeded = c.decide(nil, keyMissing).refusal != ""
		fault, named := keyMissing, (*account.Account)(nil)
		if q.Account != "" {
			fault = ""
			named, _ = c.accounts.ByName(q.Account)
		}
		auth := c.decide(named, fault)
		p.KeyRefusal, p.Account = auth.refusal, auth.account
	}
	p.NoMemory = d.opts.Memory != nil && !d.opts.Memory.HasRoom(q.BodyBytes)
	p.Draining = d.opts.Stopping() && !q.Nested
	p.NeedsToken = d.opts.Limiter != nil && needsToken(p.Account, q.Nested)
	p.Request = newRequest(route, now, p.Account, q.Nested)
	p.Request.Service = d.splitter.Peek(route)
	d.previewServers(now, q.BodyBytes, &p)
	return p
}

// previewServers sets the candidates as pick finds them for the first attempt.
func (d *Dispatcher) previewServers(now time.Time, bodyBytes int, p *Preview) {
	selection := d.opts.Rollouts.Preview(now, p.Request.Service, p.Request.Route)
	query := queryOf(now, &p.Request, bodyBytes, nil, selection.Preferred)
	p.Candidates = d.opts.Selector.Explain(now, query)
	canChoose := func(c placement.Candidate) bool { return c.Probability > 0 }
	if !slices.ContainsFunc(p.Candidates, canChoose) && selection.Fallback != nil {
		query.Version = selection.Fallback
		p.Candidates, p.Fallback = d.opts.Selector.Explain(now, query), true
	}
	if !slices.ContainsFunc(p.Candidates, canChoose) {
		p.NoServer = d.noServer(p.Request.Service)
	}
}
