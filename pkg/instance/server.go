package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// State is what a server says of itself.
type State uint8

// States of a server.
const (
	Ready State = iota
	// Draining servers get no new requests.
	Draining
	// Deregistered servers have withdrawn their registration and exit soon.
	Deregistered
)

// String returns the name of the state in logs.
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

// Server is one incarnation of a server as its latest heartbeat describes it.
type Server struct {
	// ID names the server; a restarted server may keep it.
	ID string
	// StartedAtMS is the start of the incarnation in Unix milliseconds.
	StartedAtMS int64
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	Service  string
	Address  string
	// FailureDomain is where the server runs.
	FailureDomain string
	// Version is the version of the server's software.
	Version string
	// Slots is how many requests the server runs at once.
	Slots int
	State State
	// WarmUp is how much longer the server is slow after its start.
	WarmUp time.Duration
}

// Incarnation names one start of the server; an id may be used again.
func (s Server) Incarnation() string { return s.ID + "/" + strconv.FormatInt(s.StartedAtMS, 36) }

// ParseIncarnation reads the id and the start of a server from its incarnation.
func ParseIncarnation(text string) (id string, born int64, err error) {
	at := strings.LastIndexByte(text, '/')
	if at < 0 {
		return "", 0, oops.Errorf("incarnation %q must be ID/START", text)
	}
	born, err = strconv.ParseInt(text[at+1:], 36, 64)
	if err != nil {
		return "", 0, oops.Wrapf(err, "start of incarnation %q", text)
	}
	return text[:at], born, nil
}
