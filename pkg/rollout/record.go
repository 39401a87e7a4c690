package rollout

// Record is what the store keeps of the last recorded order of a service. It also has the
// verdicts on versions of earlier orders, which a restarted node knows from nowhere else.
type Record struct {
	Order Order
	State State
	// Rejected and Superseded are the versions that are excluded for this reason.
	Rejected, Superseded []string
}

// excluded returns the exclusions that the record states, those by its own order included if
// the order has been replaced.
func (r Record) excluded(replaced bool) exclusions {
	var out exclusions
	for _, v := range r.Superseded {
		out = out.with(v, Superseded)
	}
	for _, v := range r.Rejected {
		out = out.with(v, Rejected)
	}
	if r.Order.Target != "" && (replaced || r.State != Running) {
		out = out.settled(r.Order.Target, r.State)
	}
	return out
}

// Next returns the record of a further state or order, written in place of r.
func (r Record) Next(o Order, s State, more Record) Record {
	all := r.excluded(r.Order.Revision != o.Revision && r.Order.Target != o.Target)
	for _, v := range more.Superseded {
		all = all.with(v, Superseded)
	}
	for _, v := range more.Rejected {
		all = all.with(v, Rejected)
	}
	if s == Completed {
		all = all.without(o.Target)
	}
	return Record{Order: o, State: s, Rejected: all.versions(Rejected), Superseded: all.versions(Superseded)}
}
