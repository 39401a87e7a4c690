package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// State is the state that a server reports of itself.
type State uint8

// States of a server.
const (
	Ready State = iota
	// Draining means that the server gets no new requests.
	Draining
	// Deregistered means that the server has withdrawn its registration and exits soon.
	Deregistered
)

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	default:
		return "gone"
	}
}

// Server is one incarnation of a server, as described by its latest heartbeat.
type Server struct {
	// ID identifies the server. A restarted server may have the same id.
	ID string
	// StartedAtMS is the start of the incarnation in Unix milliseconds.
	StartedAtMS int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	Service  string
	Address  string
	// FailureDomain is the failure domain in which the server runs.
	FailureDomain string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	State State
	// WarmUp is how much longer the server is expected to be slow after its start.
	WarmUp time.Duration
}

// Incarnation identifies one start of the server, since an id may be used again. Its form
// is ID/START, with StartedAtMS in base 36.
func (s Server) Incarnation() string { return s.ID + "/" + strconv.FormatInt(s.StartedAtMS, 36) }

// ParseIncarnation returns the id and the start time, in Unix milliseconds, that the
// result of Incarnation consists of, or an error if text has another form.
func ParseIncarnation(text string) (id string, startedAtMS int64, err error) {
	at := strings.LastIndexByte(text, '/')
	if at < 0 {
		return "", 0, oops.Errorf("incarnation %q must be ID/START", text)
	}
	startedAtMS, err = strconv.ParseInt(text[at+1:], 36, 64)
	if err != nil {
		return "", 0, oops.Wrapf(err, "start of incarnation %q", text)
	}
	return text[:at], startedAtMS, nil
}
