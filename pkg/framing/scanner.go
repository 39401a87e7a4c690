package framing

import "bytes"

// scanner finds the heads of responses in the bytes of a connection, wherever they begin. It
// follows one head at a time: the lines of a head that begins within another one are lines of
// that one too.
type scanner struct {
	marks []string // names of the headers by which the servers are known
	total int64    // bytes scanned
	text  []byte   // the last of them, an unfinished line that may belong to a head

	inHead  bool
	current head // if inHead; its lines up to text were taken
	// heads are those that are complete or broken, in the order of their starts.
	heads []head
}

// reset forgets what was found. The next bytes have the given offset.
func (s *scanner) reset(offset int64) {
	s.total, s.inHead, s.heads, s.text = offset, false, s.heads[:0], s.text[:0]
	if cap(s.text) > maxKeptBuffer {
		s.text = nil
	}
	if cap(s.heads) > maxKeptHeads {
		s.heads = nil
	}
}

// scan takes the next bytes.
func (s *scanner) scan(p []byte) {
	if len(s.text) > 0 {
		p = s.finishLine(p)
	}
	if len(p) > 0 {
		s.total += int64(len(p))
		rest := s.consume(p)
		s.text = append(s.text[:0], rest...)
	}
}

// finishLine takes bytes up to the end of the unfinished line, and further ones as long as a line
// is unfinished. It returns the others.
func (s *scanner) finishLine(p []byte) []byte {
	for len(p) > 0 && len(s.text) > 0 {
		n := min(1+bytes.IndexByte(p, '\n'), maxHeaderLine-len(s.text))
		if n == 0 {
			n = min(len(p), maxHeaderLine-len(s.text))
		}
		s.text = append(s.text, p[:n]...)
		s.total += int64(n)
		p = p[n:]
		rest := s.consume(s.text)
		s.text = append(s.text[:0], rest...)
	}
	return p
}

// consume takes the lines of the last bytes that were scanned. It returns the rest that may belong to a
// head, which is shorter than maxHeaderLine.
func (s *scanner) consume(b []byte) []byte {
	for {
		var n int
		if s.inHead {
			n = s.takeLine(b)
		} else {
			b = b[firstPossible(b):]
			n = s.takeStatusLine(b)
		}
		if n < 0 {
			return b
		}
		b = b[n:]
	}
}

// takeStatusLine takes a line that begins with b if it is a status line, else its first byte. It returns the
// number of bytes taken, or -1 if more are needed.
func (s *scanner) takeStatusLine(b []byte) int {
	if !bytes.HasPrefix(b, versionPrefix) {
		return -1
	}
	n := 1 + bytes.IndexByte(b[:min(len(b), maxStatusLine)], '\n')
	if n == 0 && len(b) < maxStatusLine && mayBeStatusLine(b) {
		return -1
	}
	status, ok := parseStatusLine(b[:n])
	if !ok {
		return 1
	}
	s.inHead, s.current = true, newHead(s.total-int64(len(b)), status, b[:n])
	return n
}

// takeLine takes the next line of the current head. It returns the number of bytes taken, or -1 if more are
// needed. A line that can't be one of the head is not taken: a status line may begin within.
func (s *scanner) takeLine(b []byte) int {
	n := 1 + bytes.IndexByte(b[:min(len(b), maxHeaderLine)], '\n')
	switch {
	case n > 0:
		s.current.add(b[:n], s.total-int64(len(b)-n), s.marks)
	case len(b) < maxHeaderLine:
		return -1
	default:
		s.current.state, s.current.end = broken, s.total
		s.current.fault = "a line that is too long"
	}
	if s.current.state == open {
		return n
	}
	s.heads = append(s.heads, s.current)
	s.inHead = false
	if s.current.state == broken {
		return 0
	}
	return n
}

// firstPossible returns the index of the first byte from which b may begin a status line.
func firstPossible(b []byte) int {
	if i := bytes.Index(b, versionPrefix); i >= 0 {
		return i
	}
	for n := min(len(b), len(versionPrefix)-1); n > 0; n-- {
		if bytes.HasSuffix(b, versionPrefix[:n]) {
			return len(b) - n
		}
	}
	return len(b)
}

// mayBegin returns the offset from which a status line may begin that is not complete yet.
func (s *scanner) mayBegin() (offset int64, ok bool) {
	return s.total - int64(len(s.text)), !s.inHead && len(s.text) > 0
}
