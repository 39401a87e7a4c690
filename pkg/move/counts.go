package move

// Counts are the response counts of one version. They never decrease.
type Counts struct {
	Calls  uint64 `cbor:"1,keyasint,omitempty"`
	Failed uint64 `cbor:"2,keyasint,omitempty"`
	Slow   uint64 `cbor:"3,keyasint,omitempty"`
}

// merge returns the maximum of each count.
func (c Counts) merge(o Counts) Counts {
	return Counts{max(c.Calls, o.Calls), max(c.Failed, o.Failed), max(c.Slow, o.Slow)}
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Calls + o.Calls, c.Failed + o.Failed, c.Slow + o.Slow}
}

// sub returns c minus o. No count of o may exceed that of c.
func (c Counts) sub(o Counts) Counts {
	return Counts{c.Calls - o.Calls, c.Failed - o.Failed, c.Slow - o.Slow}
}

// valid reports whether no kind of bad response is counted more often than calls, and
// the number of calls is in range.
func (c Counts) valid() bool {
	return c.Failed <= c.Calls && c.Slow <= c.Calls && c.Calls < 1<<48
}

// bad returns the number of bad responses of the kind.
func (c Counts) bad(k kind) uint64 {
	if k == slow {
		return c.Slow
	}
	return c.Failed
}

func (c *Counts) record(failed, slow bool) {
	c.Calls++
	if failed {
		c.Failed++
	}
	if slow {
		c.Slow++
	}
}
