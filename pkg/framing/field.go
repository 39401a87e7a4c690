package framing

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// InvalidHeadError is the error of a response with a field or line in its head, or a field in its trailer, that
// HTTP/1 doesn't allow. Where its head ends, and so what its body is, is not known.
type InvalidHeadError struct {
	// Fault tells what is not allowed. It has names of fields, but no values.
	Fault string
}

func (e *InvalidHeadError) Error() string {
	return "response has " + e.Fault + ", which HTTP/1 doesn't allow"
}

// AreFieldLines reports whether an encoded head, without its status line and the empty line, consists of
// field lines that a response may have.
func AreFieldLines(head []byte) bool {
	for len(head) > 0 {
		line, rest, ended := bytes.Cut(head, []byte("\r\n"))
		name, value, isField := strings.Cut(string(line), ":")
		if !ended || !isField || fieldFault(name, value) != "" {
			return false
		}
		head = rest
	}
	return true
}

// checkFields returns an *InvalidHeadError if a response may not have one of the fields.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if fault := fieldFault(name, strings.Join(values, ",")); fault != "" {
			return &InvalidHeadError{fault}
		}
	}
	return nil
}

// fieldFault returns what HTTP/1 doesn't allow in a field, or an empty text.
func fieldFault(name, value string) string {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return fmt.Sprintf("the field name %.40q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Sprintf("a control byte in the field %.40q", name)
	default:
		return ""
	}
}

// lineFault returns what HTTP/1 doesn't allow in a line of a head other than the first, or an empty text. sameEnd
// tells that the line ends like the first one. A recipient may take a line feed for a line end, but in a head
// with other line ends it is a control byte like any other. It may reject folded lines, which no sender
// may generate.
func lineFault(text string, sameEnd bool) string {
	name, value, isField := strings.Cut(text, ":")
	switch {
	case !sameEnd:
		return "line ends that differ"
	case text == "":
		return ""
	case isFolded(text):
		return "a folded line"
	case !isField:
		return "a line without a colon"
	default:
		return fieldFault(name, value)
	}
}
