package framing

import (
	"mime"
	"slices"
	"strings"
)

// inspection judges one response by what the scanner finds from its start on.
type inspection struct {
	scanner *scanner
	start   int64
	// own is the response's own head once it was read, open before that. The line ends of another response of
	// the server are those of its own; those in a text about HTTP mostly are not.
	own head
	// hasMessages tells that the body is meant to hold HTTP messages.
	hasMessages bool
	// within is the first head that began within the response, if there was one; reach is the furthest end of the
	// messages of such heads.
	within *head
	reach  int64
}

// verdict tells whether another response begins within a response.
type verdict int

const (
	whole verdict = iota
	interrupted
	// undecided means that the next bytes of the connection tell.
	undecided
)

// soFar judges what lies before the offset, at which the response goes on. It returns the head of another
// response if that is known already: by a mark, or since it lies within the response's own head.
func (i *inspection) soFar(offset int64) (other head, found bool) {
	s := i.scanner
	passed := 0
	for _, h := range s.heads {
		if h.start >= offset || h.state == broken && h.end > offset {
			break
		}
		if i.isAnother(h) {
			return h, true
		}
		i.note(h)
		passed++
	}
	s.heads = slices.Delete(s.heads, 0, passed)
	if s.inHead && s.current.start < offset && i.isAnother(s.current) {
		return s.current, true
	}
	return head{}, false
}

// isAnother reports whether the head is known to be another response's, wherever the response ends.
func (i *inspection) isAnother(h head) bool {
	if h.start == i.start {
		return h.nested
	}
	return h.mark.Name != "" && !i.isText(h)
}

// isText reports whether the head is a part of a text about HTTP, by its line ends.
func (i *inspection) isText(h head) bool { return h.bareLF && !i.own.bareLF }

// note takes a head that lies before the end of the response.
func (i *inspection) note(h head) {
	switch {
	case h.start == i.start:
		i.own = h
	case !i.isText(h):
		if i.within == nil {
			i.within = &h
		}
		if h.state == complete {
			i.reach = max(i.reach, h.end)
		}
	}
}

// atEnd judges the response that ends at the offset. All bytes that have arrived must have been scanned.
func (i *inspection) atEnd(end int64) (verdict, head) {
	if other, found := i.soFar(end); found {
		return interrupted, other
	}
	s := i.scanner
	follows := s.total > end
	for _, h := range s.heads {
		if h.start < end && !i.isText(h) { // broken by a line that reaches beyond the end
			return interrupted, h
		}
	}
	if s.inHead && s.current.start < end && !i.isText(s.current) {
		if follows || !i.hasMessages && mayBeHeaderLine(s.text) {
			return interrupted, s.current
		}
		return undecided, s.current
	}
	if offset, ok := s.mayBegin(); ok && offset > i.start && offset < end {
		return undecided, head{start: offset}
	}
	switch {
	case i.within == nil:
		return whole, head{}
	case follows && !i.beginsAt(end), i.reach >= end && !i.hasMessages:
		return interrupted, *i.within
	case follows:
		return whole, head{}
	default:
		return undecided, *i.within
	}
}

// beginsAt reports whether the bytes from the offset on begin a message, as far as they have arrived.
func (i *inspection) beginsAt(offset int64) bool {
	s := i.scanner
	if slices.ContainsFunc(s.heads, func(h head) bool { return h.start == offset }) || s.inHead && s.current.start == offset {
		return true
	}
	begin, ok := s.mayBegin()
	return ok && begin == offset
}

// holdsMessages reports whether a body of the content type is meant to hold HTTP messages.
func holdsMessages(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && (media == "message/http" || media == "application/http" || strings.HasPrefix(media, "multipart/"))
}
