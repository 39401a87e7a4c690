package status

// ColdServer is a server that gets only the requests of a cold one.
type ColdServer struct {
	Service string `json:"service"`
	// Instance is the incarnation of the server, as in the log.
	Instance string `json:"instance"`
	Node     string `json:"node"`
	// RemainingSeconds is the time for which it stays cold; null if that is not known.
	RemainingSeconds *float64 `json:"remainingSeconds"`
	// LimitPerSecond is the rate of requests that it takes from all nodes together.
	LimitPerSecond float64 `json:"limitPerS"`
	// Started is the number of requests that it was sent in the last second; only the server's own
	// node knows it.
	Started *int `json:"startedLastSecond,omitempty"`
	// Source is SourceReported or SourceAssumed.
	Source string `json:"source"`
	// AgeSeconds is the age of this information.
	AgeSeconds float64 `json:"ageSeconds"`
}

// Sources of the information that a server is cold.
const (
	// SourceReported means that the server has named its cold time.
	SourceReported = "reported"
	// SourceAssumed means that the server may have restarted, and that no heartbeat has shown yet
	// whether it has. Of another node's server, it means that no cold time is known that has not
	// passed.
	SourceAssumed = "assumed"
)
