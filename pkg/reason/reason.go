// Package reason defines the typed reasons for refusals and retries. Each reason
// is a counter label and the value of a response header.
package reason

// Refusal is the reason why a node did not answer a call with the upstream's response.
type Refusal string

// Refusals of calls.
const (
	NoRoute          Refusal = "no-route"          // no route matches the request
	NoUpstream       Refusal = "no-upstream"       // no usable upstream of the service is known
	QueueFull        Refusal = "queue-full"        // the bounded queue of the upstream's node is full
	UplinkFull       Refusal = "uplink-full"       // the instance's network link could not carry the response on time
	QueueDeadline    Refusal = "queue-deadline"    // the call could not finish before its deadline
	ConnectionLimit  Refusal = "connection-limit"  // the server's connection limit is reached
	Draining         Refusal = "draining"          // the upstream or its node is leaving
	StaleTarget      Refusal = "stale-target"      // the call names another instance or incarnation
	Fenced           Refusal = "barred"            // the call id was barred by an outcome query
	NotReady         Refusal = "not-ready"         // the node has no configuration in force yet
	UpstreamConnect  Refusal = "upstream-connect"  // no connection to the upstream could be opened
	UpstreamFailed   Refusal = "upstream-failed"   // the exchange with the upstream broke
	PeerConnect      Refusal = "peer-connect"      // no connection to the upstream's node could be opened
	PeerFailed       Refusal = "peer-failed"       // the exchange with the upstream's node broke
	DeadlineExceeded Refusal = "deadline-exceeded" // the deadline passed while the call ran
	OutcomeUnknown   Refusal = "outcome-unknown"   // the call may have run
	ResponseLost     Refusal = "answer-lost"       // the call ran but its answer is no longer kept
	DepthExceeded    Refusal = "depth-exceeded"    // the chain of calls is too deep
	BadRequest       Refusal = "bad-request"       // the request is malformed
	Canceled         Refusal = "canceled"          // the caller went away
	LedgerFull       Refusal = "ledger-full"       // the ledger cannot record another call id
	RetryBudget      Refusal = "retry-budget"      // a retry was refused: no token left
	RetryDeadline    Refusal = "retry-deadline"    // a retry was refused: it cannot finish in time
	RetryAttempts    Refusal = "retry-attempts"    // a retry was refused: the attempt limit is reached
	RetrySpent       Refusal = "retry-spent"       // a retry was refused: a lower level already retried
	TransferLimit    Refusal = "transfer-limit"    // a full-state transfer was refused: too many run
)

// Ran tells whether the upstream started a call.
type Ran string

// Values of the Corianderwood-Ran response header.
const (
	RanNo      Ran = "no"      // the upstream provably did not start the call
	RanYes     Ran = "yes"     // the upstream started the call
	RanUnknown Ran = "unknown" // the node cannot tell
)

// Retry is the reason for a second or later attempt of a call.
type Retry string

// Reasons for retries.
const (
	RetryNotRun         Retry = "not-run"         // the earlier attempt provably did not run
	RetryConnectFailure Retry = "connect-failure" // no byte was sent
	RetryUnavailable    Retry = "unavailable"     // response 502, 503 or 504 to a repeatable call
	RetryThrottled      Retry = "throttled"       // response 429 to a repeatable call
	RetryBroken         Retry = "broken"          // the exchange of a repeatable call broke
	RetryTimeout        Retry = "timeout"         // the attempt timeout of a repeatable call passed
)
