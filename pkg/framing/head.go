package framing

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// unknownEnd is the end of a message whose head does not tell its length.
const unknownEnd = math.MaxInt64

// head is the head of a response, or a text that begins like one. Offsets count the bytes of the
// connection.
type head struct {
	start int64 // offset of the status line
	state headState
	// end is the offset behind the message that a complete head begins, or unknownEnd. If the
	// head is broken, it is the offset behind the line that can't be one of a head.
	end int64
	// nested tells that a further status line lies within a line of the head.
	nested bool
	// bareLF tells that the status line ends without a carriage return, as in most texts about HTTP.
	bareLF bool
	// fault is what HTTP/1 doesn't allow in the lines that were taken, or empty.
	fault string
	// mark is the first header by which the servers of the deployment are known, or empty.
	mark Mark

	status  int
	length  int64 // Content-Length, or -1
	chunked bool
}

// headState is how far the text of a head goes.
type headState int

const (
	open headState = iota
	// broken means that a line follows that can't be one of a head.
	broken
	complete
)

// Mark is a header that only responses of the deployment's servers have.
type Mark struct{ Name, Value string }

var versionPrefix = []byte("HTTP/")

// parseStatusLine reports whether a line, with its end, is a status line, and its code.
func parseStatusLine(line []byte) (code int, ok bool) {
	rest, ok := cutVersion(trimLineEnd(line))
	if !ok || len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' {
		return 0, false
	}
	code, err := strconv.Atoi(string(rest[:3]))
	return code, err == nil && areDigits(rest[:3])
}

// mayBeStatusLine reports whether bytes without a line end may begin a status line.
func mayBeStatusLine(b []byte) bool {
	const shortest = "HTTP/1.1 200"
	if len(b) < len("HTTP/1.1 ") {
		return cutsVersion(append(slices.Clone(b), shortest[len(b):]...))
	}
	rest, ok := cutVersion(b)
	rest = bytes.TrimSuffix(rest, []byte("\r"))
	return ok && areDigits(rest[:min(len(rest), 3)]) && (len(rest) <= 3 || rest[3] == ' ')
}

// cutVersion returns what follows the version and the spaces behind it.
func cutVersion(line []byte) (rest []byte, ok bool) {
	rest, found := bytes.CutPrefix(line, versionPrefix)
	if !found || len(rest) < len("1.1 ") || !isDigit(rest[0]) || rest[1] != '.' || !isDigit(rest[2]) || rest[3] != ' ' {
		return nil, false
	}
	return bytes.TrimLeft(rest[3:], " "), true
}

func cutsVersion(line []byte) bool {
	_, ok := cutVersion(line)
	return ok
}

func areDigits(b []byte) bool {
	return !slices.ContainsFunc(b, func(c byte) bool { return !isDigit(c) })
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// hasNestedStatusLine reports whether a status line begins within the line and ends with it.
func hasNestedStatusLine(line []byte) bool {
	for i := 1; i < len(line); i++ {
		next := bytes.Index(line[i:], versionPrefix)
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

// newHead returns the head that a status line, with its end, begins at the offset.
func newHead(start int64, status int, line []byte) head {
	return head{start: start, status: status, length: -1, nested: hasNestedStatusLine(line), bareLF: !bytes.HasSuffix(line, []byte("\r\n"))}
}

// mayBeHeaderLine reports whether bytes without a line end may begin a line of a head.
func mayBeHeaderLine(b []byte) bool {
	text := strings.TrimSuffix(string(b), "\r")
	if text == "" || isFolded(text) {
		return true
	}
	name, _, _ := strings.Cut(text, ":")
	return httpguts.ValidHeaderFieldName(strings.TrimRight(name, " \t"))
}

// isFolded reports whether a line continues the header before it.
func isFolded(line string) bool { return line != "" && (line[0] == ' ' || line[0] == '\t') }

// add takes the next line, with its end, which ends at the offset.
func (h *head) add(line []byte, end int64, marks []string) {
	text := string(trimLineEnd(line))
	if h.fault == "" {
		h.fault = lineFault(text, bytes.HasSuffix(line, []byte("\r\n")) != h.bareLF)
	}
	name, value, isField := strings.Cut(text, ":")
	if text != "" && !isFolded(text) && !isField || !mayBeHeaderLine([]byte(text)) {
		h.state, h.end = broken, end
		return
	}
	name, value = strings.TrimRight(name, " \t"), strings.TrimSpace(value)
	h.nested = h.nested || hasNestedStatusLine(line)
	switch {
	case text == "":
		h.state, h.end = complete, h.messageEnd(end)
	case isFolded(text):
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.chunked = true
	case strings.EqualFold(name, "Content-Length"):
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 {
			h.length = n
		}
	case h.mark.Name == "":
		for _, mark := range marks {
			if strings.EqualFold(name, mark) {
				h.mark = Mark{mark, value}
			}
		}
	}
}

// messageEnd returns the end of the message of a head that ends at the offset.
func (h *head) messageEnd(offset int64) int64 {
	switch {
	case h.status/100 == 1, h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		return offset
	case h.chunked || h.length < 0 || h.length > unknownEnd-offset:
		return unknownEnd
	default:
		return offset + h.length
	}
}
