package framing

import "bytes"

// scanner finds the heads of responses in the bytes of a connection, wherever they begin. The
// text of one possible head is kept at a time: the lines of a head that begins within another
// one are lines of that one too.
type scanner struct {
	marks []string // names of the headers by which the servers are known
	total int64    // bytes scanned
	heads []head   // complete ones, in the order of their starts

	buffer []byte // holds text
	text   []byte // the last bytes, as long as they may belong to a head
	isHead bool   // text begins with httpVersion; otherwise it may be the beginning of that
	open   head   // the head that text begins, if isHead
	parsed int    // bytes of text that were taken as lines of open
}

// reset forgets what was found. The next bytes have the given offset.
func (s *scanner) reset(offset int64) {
	s.total = offset
	s.heads, s.text, s.isHead = s.heads[:0], s.text[:0], false
}

// scan takes the next bytes.
func (s *scanner) scan(p []byte) {
	for len(p) > 0 {
		if len(s.text) == 0 {
			skipped := firstPossible(p)
			s.total += int64(skipped)
			p = p[skipped:]
		}
		n := min(len(p), maxHead-len(s.text))
		s.buffer = append(append(s.buffer[:0], s.text...), p[:n]...)
		s.text = s.buffer
		s.total += int64(n)
		p = p[n:]
		for s.advance() {
		}
	}
}

// firstPossible returns the index of the first byte from which p may begin or continue a head.
func firstPossible(p []byte) int {
	if i := bytes.Index(p, httpVersion); i >= 0 {
		return i
	}
	for n := min(len(p), len(httpVersion)-1); n > 0; n-- {
		if bytes.HasSuffix(p, httpVersion[:n]) {
			return len(p) - n
		}
	}
	return len(p)
}

// advance takes the next line of text. It returns false if more bytes are needed.
func (s *scanner) advance() bool {
	if !s.isHead {
		s.drop(firstPossible(s.text))
		if !bytes.HasPrefix(s.text, httpVersion) {
			return false
		}
		s.isHead, s.parsed = true, 0
		s.open = head{start: s.total - int64(len(s.text)), end: unknownEnd}
	}
	rest := s.text[s.parsed:]
	if !s.open.hasStatus {
		rest = rest[:min(len(rest), maxStatusLine)]
	}
	lineEnd := bytes.IndexByte(rest, '\n')
	switch {
	case lineEnd >= 0:
	case !s.open.hasStatus && len(rest) == maxStatusLine:
		s.reject()
		return true
	case len(s.text) == maxHead:
		s.record(len(s.text))
		return true
	default:
		return false
	}
	line := rest[:lineEnd+1]
	if !s.open.add(line, s.marks) {
		s.reject()
		return true
	}
	s.parsed += len(line)
	if s.open.complete {
		s.open.finish(s.total - int64(len(s.text)-s.parsed))
		s.record(s.parsed)
	}
	return true
}

// record adds the open head, whose text has the given length, to the found ones.
func (s *scanner) record(length int) {
	if len(s.heads) <= maxHeads {
		s.heads = append(s.heads, s.open)
	}
	s.isHead = false
	s.drop(length)
}

// reject continues the search in a text that is no head. The line at fault would also end a head that
// begins within the lines before it.
func (s *scanner) reject() {
	s.isHead = false
	s.drop(max(s.parsed, 1))
}

func (s *scanner) drop(n int) { s.text = s.text[n:] }
