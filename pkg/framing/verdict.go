package framing

// verdict tells whether another response begins within a response.
type verdict int

const (
	whole verdict = iota
	interrupted
	// undecided means that a status line may begin at the end of the response: the next bytes
	// of the connection tell.
	undecided
)

// atEnd judges the response from start to end. All bytes that have arrived must have been scanned.
func (s *scanner) atEnd(start, end int64) (verdict, head) {
	if len(s.heads) > maxHeads {
		return interrupted, s.heads[maxHeads]
	}
	all := s.heads
	if s.isHead {
		all = append(all[:len(all):len(all)], s.open)
	}
	unframed := s.total > end && !s.beginsAt(end)
	for _, h := range all {
		switch {
		case h.start < start || h.start >= end:
		case h.start == start:
			if h.nested {
				return interrupted, h
			}
		case !h.hasStatus: // the open one
			return undecided, h
		case h.mark.Name != "", unframed, !h.bareLF && (!h.complete || h.end >= end):
			return interrupted, h
		}
	}
	if possible := s.total - int64(len(s.text)); !s.isHead && len(s.text) > 0 && possible > start && possible < end {
		return undecided, head{start: possible}
	}
	return whole, head{}
}

// within returns the first head of another response that lies between start and the offset, if it is
// known by a mark or lies within the head of the response itself. More is known at the end only.
func (s *scanner) within(start, offset int64) (head, bool) {
	for _, h := range s.heads {
		if h.start == start && h.nested || h.start > start && h.start < offset && h.mark.Name != "" {
			return h, true
		}
	}
	return head{}, false
}

// beginsAt reports whether the bytes from the offset on begin a message, as far as they
// have arrived.
func (s *scanner) beginsAt(offset int64) bool {
	for _, h := range s.heads {
		if h.start == offset {
			return true
		}
	}
	if s.isHead {
		return s.open.start == offset
	}
	return len(s.text) > 0 && s.total-int64(len(s.text)) == offset
}
