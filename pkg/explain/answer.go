package explain

// Answer is the JSON document that GET /explain returns. Its sections are in the order in which a node
// decides. Sections after the first refusal tell what would follow without it; those that depend on the
// route are missing if there is none. Times are in milliseconds, and an age of null means that the
// figure was not reported.
type Answer struct {
	Node    Node    `json:"node"`
	Outcome Outcome `json:"outcome"`
	Route   Route   `json:"route"`
	Key     *Key    `json:"key,omitempty"`
	// Limit is missing if the request takes no token of an account.
	Limit      *Limit      `json:"limit,omitempty"`
	Budgets    Budgets     `json:"budgets"`
	Candidates []Candidate `json:"candidates"`
	// CandidatesOmitted is the number of further candidates beyond those listed, the least probable.
	CandidatesOmitted int `json:"candidatesOmitted"`
	// Versions tells which server versions count: "preferred", or "fallback" if no server of a
	// preferred version can be chosen.
	Versions string `json:"versions,omitempty"`
	// OwnServer is missing if the node's own server is of another service.
	OwnServer *OwnServer `json:"ownServer,omitempty"`
}

// Node describes the node that answers.
type Node struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// Configuration is the version of the configuration in force, 0 if there is none.
	Configuration uint64 `json:"configuration"`
}

// Outcome is the first decision that ends the way of the request in the node.
type Outcome struct {
	// Action is "send", "wait" or "refuse". With "wait", the request is sent or refused soon.
	Action string `json:"action"`
	// Step is the section that decides.
	Step string `json:"step"`
	// Status and Reason are those of the refusal; with "wait", of one that may follow.
	Status       int     `json:"status,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// Actions of an Outcome.
const (
	ActionSend   = "send"
	ActionWait   = "wait"
	ActionRefuse = "refuse"
)

// Route is the matching route.
type Route struct {
	Matched bool `json:"matched"`
	// Problem tells why no route matches.
	Problem string `json:"problem,omitempty"`
	Name    string `json:"name,omitempty"`
	// Host is the host of the route.
	Host     string `json:"host,omitempty"`
	Service  string `json:"service,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Priority int    `json:"priority"`
	// DeadlineMs and TargetMs are the times until the deadline and until the response counts as late,
	// if the client names no deadline.
	DeadlineMs float64 `json:"deadlineMs"`
	TargetMs   float64 `json:"targetMs"`
	// Attempts is how many servers one request may reach.
	Attempts int `json:"attempts"`
}

// Key tells whether the request needs a key.
type Key struct {
	Needed bool `json:"needed"`
	// Accepted means that the configuration is current enough to accept keys. FreshMs is for how long
	// it stays so if nothing more is heard of the store, -1 if keys do not depend on that.
	Accepted bool    `json:"accepted"`
	FreshMs  float64 `json:"freshMs"`
	// Refusal is the reason to refuse the request for its key.
	Refusal string `json:"refusal,omitempty"`
	// Account is the account of the request.
	Account string `json:"account,omitempty"`
}

// Limit tells what the request finds of its account's limit.
type Limit struct {
	RatePerS float64 `json:"ratePerS"`
	Burst    float64 `json:"burst"`
	// Tokens are held at this node, Waiting is the number of requests that wait for one.
	Tokens     int     `json:"tokens"`
	Waiting    int     `json:"waiting"`
	DemandPerS float64 `json:"demandPerS"`
	// Action is "send" if there is a token, "wait" if one is awaited for up to WaitMs, or "refuse".
	Action string  `json:"action"`
	WaitMs float64 `json:"waitMs,omitempty"`
	// Status and Reason are those of the refusal, with "wait" of the one that follows without a token.
	Status       int     `json:"status,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// Budgets are those that the request needs.
type Budgets struct {
	MemoryBytes      int64 `json:"memoryBytes"`
	MemoryLimitBytes int64 `json:"memoryLimitBytes"`
	// MemoryShort means that a request would wait for memory, and be refused if none is free soon.
	MemoryShort bool `json:"memoryShort"`
	// BodyLimitBytes is the largest body; BodyTooLarge means that the request's is larger.
	BodyLimitBytes        int  `json:"bodyLimitBytes"`
	BodyTooLarge          bool `json:"bodyTooLarge"`
	ClientConnections     int  `json:"clientConnections"`
	ClientConnectionLimit int  `json:"clientConnectionLimit"`
}

// Candidate is a server that might run the request.
type Candidate struct {
	Instance      string `json:"instance,omitempty"`
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain,omitempty"`
	Version       string `json:"version,omitempty"`

	Slots      int      `json:"slots"`
	SlotsAgeMs *float64 `json:"slotsAgeMs"`
	// Running, Waiting, and LearnedLimit, the number of requests that the server's node lets it run at
	// once, are those of the last response.
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	LearnedLimit int      `json:"learnedLimit"`
	LoadAgeMs    *float64 `json:"loadAgeMs"`
	// FailureRate is decayed with its age.
	FailureRate      float64  `json:"failureRate"`
	FailureRateAgeMs *float64 `json:"failureRateAgeMs"`
	// ServiceTimeMs is that of the route; without an age it is assumed.
	ServiceTimeMs    float64  `json:"serviceTimeMs"`
	ServiceTimeAgeMs *float64 `json:"serviceTimeAgeMs"`
	// NetworkMs is what the network adds to EstimatedMs, with the backlog of the last response.
	NetworkMs float64 `json:"networkMs"`
	// InFlight are this node's requests without a response, Unreported those sent since the last
	// report, decayed with their age.
	InFlight   int     `json:"inFlight"`
	Unreported float64 `json:"unreported"`
	// RequestLimitPerS is the limit that the server names, or that of a cold one.
	RequestLimitPerS *float64 `json:"requestLimitPerS,omitempty"`
	Cold             bool     `json:"cold,omitempty"`

	// Excluded is why the server is not chosen; empty if it may be.
	Excluded string `json:"excluded,omitempty"`
	// EstimatedMs is the estimated response time by which servers are compared.
	EstimatedMs float64 `json:"estimatedMs"`
	// Probability is that of being chosen first.
	Probability float64 `json:"probability"`
}

// Exclusions in addition to those of package placement.
const (
	ExcludedDraining  = "draining"
	ExcludedNotLinked = "not-linked"
	ExcludedNoReport  = "no-report"
)

// OwnServer is the decision of the node's own server if the request is sent to it.
type OwnServer struct {
	// Action is "send" if the request runs at once, "wait" or "refuse".
	Action string `json:"action"`
	// Ahead is the number of requests that wait before it, WaitMs the time that it waits.
	Ahead        int     `json:"ahead"`
	WaitMs       float64 `json:"waitMs"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
	// ServiceTimeMs is the expected service time.
	ServiceTimeMs float64 `json:"serviceTimeMs"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	LearnedLimit  int     `json:"learnedLimit"`
	Cold          bool    `json:"cold"`
}
