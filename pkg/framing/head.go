package framing

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// unknownEnd is the end of a message whose head does not tell its length.
const unknownEnd = math.MaxInt64

// head is the head of a response, or a text that may become one. Offsets count the bytes of the
// connection.
type head struct {
	start int64 // offset of the status line
	end   int64 // offset behind the message that the head begins, or unknownEnd
	// hasStatus tells that the status line is complete, complete that the whole head is.
	hasStatus, complete bool
	// nested tells that a further status line lies within a line of the head.
	nested bool
	// bareLF tells that a line ends without a carriage return, as in most texts about HTTP.
	bareLF bool
	// mark is the first header by which the servers of the deployment are known, or empty.
	mark Mark

	status     int
	length     int64 // Content-Length, or -1
	unknownLen bool  // chunked
}

// Mark is a header that only responses of the deployment's servers have.
type Mark struct{ Name, Value string }

var httpVersion = []byte("HTTP/1.")

// parseStatusLine reports whether a line, with its end, is a status line, and its code.
func parseStatusLine(line []byte) (code int, ok bool) {
	rest, found := bytes.CutPrefix(trimLineEnd(line), httpVersion)
	if !found || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, false
	}
	digits := rest[2:5]
	for _, d := range digits {
		if !isDigit(d) {
			return 0, false
		}
	}
	if len(rest) > 5 && rest[5] != ' ' {
		return 0, false
	}
	return int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0'), true
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// hasNestedStatusLine reports whether a status line begins within the line and ends with it.
func hasNestedStatusLine(line []byte) bool {
	for i := 1; i < len(line); i++ {
		next := bytes.Index(line[i:], httpVersion)
		if next < 0 {
			return false
		}
		i += next
		if _, ok := parseStatusLine(line[i:]); ok {
			return true
		}
	}
	return false
}

// add takes the next line, with its end. It reports whether the text may still be a head.
func (h *head) add(line []byte, marks []string) bool {
	h.bareLF = h.bareLF || !bytes.HasSuffix(line, []byte("\r\n"))
	if !h.hasStatus {
		h.status, h.hasStatus = parseStatusLine(line)
		h.nested, h.length = h.hasStatus && hasNestedStatusLine(line), -1
		return h.hasStatus
	}
	text := trimLineEnd(line)
	if len(text) == 0 {
		h.complete = true
		return true
	}
	name, value, ok := strings.Cut(string(text), ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return false
	}
	h.nested = h.nested || hasNestedStatusLine(line)
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.unknownLen = true
	case strings.EqualFold(name, "Content-Length"):
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 {
			h.length = n
		}
	}
	for _, mark := range marks {
		if h.mark.Name == "" && strings.EqualFold(name, mark) {
			h.mark = Mark{mark, value}
		}
	}
	return true
}

// finish sets the end of the message of a complete head that ends at the offset.
func (h *head) finish(offset int64) {
	switch {
	case h.status/100 == 1, h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		h.end = offset
	case h.unknownLen || h.length < 0 || h.length > unknownEnd-offset:
		h.end = unknownEnd
	default:
		h.end = offset + h.length
	}
}
