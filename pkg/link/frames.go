package link

import (
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// Hello is the first frame of each side.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	// Process identifies the process of the node; each restart has another one.
	Process uint64 `cbor:"2,keyasint"`
	// Address is where the node accepts links. The receiver connects to it if it does
	// not have the node's row yet.
	Address string `cbor:"3,keyasint,omitempty"`
	// FailureDomain is the failure domain in which the node runs.
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	// LinkBytesPerSecond is the rate of the instance's network link; 0 means unknown.
	LinkBytesPerSecond float64 `cbor:"5,keyasint,omitempty"`
	// GrantsTransfers means that the node answers announcements of large requests. It gets
	// them without an announcement otherwise.
	GrantsTransfers bool `cbor:"6,keyasint,omitempty"`
}

// ServerState is the state of the sender's local server. Known is false if the sender has
// no server; the fields that describe a server are then zero.
type ServerState struct {
	Known         bool   `cbor:"1,keyasint,omitempty"`
	Service       string `cbor:"2,keyasint,omitempty"`
	Version       string `cbor:"3,keyasint,omitempty"`
	Incarnation   string `cbor:"4,keyasint,omitempty"`
	FailureDomain string `cbor:"5,keyasint,omitempty"`
	Slots         int    `cbor:"6,keyasint,omitempty"`
	// Draining means that the server accepts no new requests.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Stopping means that the node shuts down while the server keeps running.
	Stopping bool `cbor:"10,keyasint,omitempty"`
	// FailureRate is the recent share of requests that failed at the server, 0 to 1.
	FailureRate float64 `cbor:"11,keyasint,omitempty"`
	// WarmUpMs is the remaining warm-up time of the server in milliseconds; until its
	// end the server is slow.
	WarmUpMs int64 `cbor:"8,keyasint,omitempty"`
	// LinkBytesPerSecond is the rate of the instance's network link; 0 means unknown.
	LinkBytesPerSecond float64 `cbor:"9,keyasint,omitempty"`
	// Limited means that the server names a limit of RequestLimit requests per second, for
	// all nodes together.
	Limited      bool    `cbor:"12,keyasint,omitempty"`
	RequestLimit float64 `cbor:"13,keyasint,omitempty"`
	// ColdLimit means that RequestLimit is what the server takes while it is cold, and not named by
	// the server.
	ColdLimit bool `cbor:"15,keyasint,omitempty"`
	// Departures are those of the servers that ran beside the sender. They are also set if
	// Known is false.
	Departures instance.Departures `cbor:"14,keyasint,omitempty"`
}

// PreviousServer gives a restarted node the state of its local server as its previous
// process announced it.
type PreviousServer struct {
	Server ServerState `cbor:"1,keyasint"`
}

// requestFrame carries a call.Request. Its times are relative to the time of sending,
// in microseconds.
type requestFrame struct {
	_              struct{} `cbor:",toarray"`
	Sequence       uint64
	ID             string
	Method         string
	Head           []byte
	Body           []byte
	Route          string
	Kind           uint8
	Service        string
	Instance       string
	Priority       int
	Nested         bool
	DeadlineIn     int64
	SoftDeadlineIn int64
	CallID         ledger.CallID
}

// accountRequestFrame carries a call.Request of a client account. Requests without one use
// requestFrame, whose fields are fixed: a node of an earlier version could not read more.
type accountRequestFrame struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Request requestFrame
}

// responseFrame carries a call.Response; times are in microseconds.
type responseFrame struct {
	_             struct{} `cbor:",toarray"`
	Sequence      uint64
	Status        int
	Head          []byte
	Body          []byte
	Refusal       reason.Refusal
	Ran           reason.Ran
	ReachedServer bool
	RetryAfter    int64
	Running       int
	Waiting       int
	Slots         int
	ServiceTime   int64
	FailureRate   float64
	UplinkBacklog int64
}

// transferRequestFrame announces a large request. Sequence is that of the request, Bytes the size
// of its frame. The times are relative to the time of sending, in microseconds.
type transferRequestFrame struct {
	_              struct{} `cbor:",toarray"`
	Sequence       uint64
	Bytes          uint64
	SoftDeadlineIn int64
	DeadlineIn     int64
	Route          string
}

// transferGrantFrame tells whether an announced request may be sent. RetryAfter is the time after
// which a refused one may come again, in microseconds.
type transferGrantFrame struct {
	_          struct{} `cbor:",toarray"`
	Sequence   uint64
	Granted    bool
	RetryAfter int64
}

// cancelFrame cancels an announcement, or a request whose caller no longer waits.
type cancelFrame struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// outcomeRequestFrame requests the outcome of a call; a responseFrame carries it.
// DeadlineIn is the time left until the deadline in microseconds.
type outcomeRequestFrame struct {
	Sequence   uint64        `cbor:"1,keyasint"`
	CallID     ledger.CallID `cbor:"2,keyasint"`
	DeadlineIn int64         `cbor:"3,keyasint"`
}

// Versions holds the version up to which the sender's copy of each table is complete.
type Versions struct {
	Tables map[string]uint64 `cbor:"1,keyasint"`
	// Configuration is the configuration version that the sender has in force; 0 means
	// none.
	Configuration uint64 `cbor:"2,keyasint,omitempty"`
	// Following means that the sender follows the store's change feeds itself.
	Following bool `cbor:"3,keyasint,omitempty"`
}

// RowsRequest requests the rows of a table that changed after version After.
type RowsRequest struct {
	Table string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
}

// Rows is the response to RowsRequest.
type Rows struct {
	Table string `cbor:"1,keyasint"`
	// Rows holds the changed rows, deletions included.
	Rows []rowcache.Row `cbor:"2,keyasint"`
	// Version is the version up to which Rows is complete.
	Version uint64 `cbor:"3,keyasint"`
	// Accepted is the newest row that the sender has put in force. It is nil if that
	// is the newest row of the table or if there is none.
	Accepted *rowcache.Row `cbor:"4,keyasint,omitempty"`
}

// FreshnessRequest asks a peer how long ago it knew its copy of the operator's table to be
// current. Number identifies the request on its link.
type FreshnessRequest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Freshness is the response to FreshnessRequest: the store had no later changes of the operator's
// table than those up to Version at the time Age before the response.
type Freshness struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Version uint64
	// Age is in microseconds.
	Age uint64
	// Configuration is the configuration version that the sender has in force.
	Configuration uint64
}

// Evidence carries what the sender observed of its local server in a roll-out.
type Evidence struct {
	Evidence rollout.Evidence `cbor:"1,keyasint"`
}
