package operator

import (
	"fmt"
	"net/http"
)

// Kind classifies the error of an operator request. It determines the HTTP status and the
// exit code of corianderctl.
type Kind string

// Kinds of errors.
const (
	KindInvalid     Kind = "invalid"     // the request or the resulting document is invalid
	KindForbidden   Kind = "forbidden"   // the operator's team may not make the edit
	KindConflict    Kind = "conflict"    // the section has changed since it was read
	KindNotFound    Kind = "not-found"   // the section, move or operation does not exist
	KindUnavailable Kind = "unavailable" // the platform is unavailable and nothing was written, or corianderctl's wait timed out
	KindUnknown     Kind = "unknown"     // the edit may have been accepted; query the operation
	KindInternal    Kind = "internal"    // an internal error of the node
	KindUnreachable Kind = "unreachable" // the client received no complete response from the node
)

// Problem is the response body of a failed operator request. It implements error.
type Problem struct {
	Kind    Kind   `json:"kind"`
	Section string `json:"section,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
	// CurrentRevision is, after a conflict, the current revision of the section, which
	// is the base of the next edit.
	CurrentRevision uint64 `json:"current_revision,omitempty"`

	cause error
}

// Error returns the kind, the message and, if there is one, the remedy.
func (p *Problem) Error() string {
	text := string(p.Kind) + ": " + p.Message
	if p.Remedy != "" {
		text = fmt.Sprintf("%s; %s", text, p.Remedy)
	}
	return text
}

// Status returns the HTTP status of the problem.
func (p *Problem) Status() int {
	switch p.Kind {
	case KindInvalid:
		return http.StatusUnprocessableEntity
	case KindForbidden:
		return http.StatusForbidden
	case KindConflict:
		return http.StatusConflict
	case KindNotFound:
		return http.StatusNotFound
	case KindUnavailable:
		return http.StatusServiceUnavailable
	case KindUnknown:
		return http.StatusAccepted
	default:
		return http.StatusInternalServerError
	}
}
