package quota

// Availability is what a request of a limited account finds at a node.
type Availability struct {
	// Tokens is the number of valid tokens that the node holds, Waiting the requests that wait for one.
	Tokens, Waiting int
	// Exhausted means that all coordinators have said lately that they have no token.
	Exhausted bool
	// PerSecond is the demand of the account at the node in requests per second.
	PerSecond float64
	// Verdict tells why there is no token if the node holds none.
	Verdict Verdict
}

// Availability returns what a request of the account finds now, and changes nothing.
func (n *Node) Availability(now Time, e *Entry) Availability {
	o := e.availability(now)
	o.Exhausted, o.Verdict = e.Exhausted(now), n.Verdict(now, e)
	return o
}

func (e *Entry) availability(now Time) Availability {
	e.mu.Lock()
	stocks, demand, waiting := e.stocks, e.demand, e.waiting
	e.mu.Unlock()
	o := Availability{Waiting: waiting, PerSecond: demand.perSecond(now)}
	for i := range stocks { // held drops expired tokens, here of the copies
		o.Tokens += stocks[i].held(now)
	}
	return o
}
