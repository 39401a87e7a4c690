package quota

// StripeStatus is what a node knows of the coordinator of one stripe.
type StripeStatus struct {
	// Coordinator is the process that got the last report.
	Coordinator Process
	// Coverage is the part of all shares that it holds, as it said last, 0 to 1.
	Coverage float64
}

// StripeStatus returns the present coordinators.
func (n *Node) StripeStatus() (out [Stripes]StripeStatus) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.leases {
		out[i] = StripeStatus{Coordinator: n.leases[i].coordinator, Coverage: n.leases[i].coverage}
	}
	return out
}

// Held returns the number of valid tokens, and the part of the account's limit that belongs to each
// stripe. It changes nothing.
func (e *Entry) Held(now Time) (tokens int, portions [Stripes]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.stocks {
		for _, b := range s.batches[:s.count] {
			if b.expires > now {
				tokens += b.tokens
			}
		}
	}
	return tokens, e.portions
}
