package status

// Account describes a client account at one node. The counts start when the process does, or when
// the account was added to the configuration.
type Account struct {
	Name string `json:"name"`
	// RatePerSecond and Burst are the limit for all nodes together; a rate of 0 means none.
	RatePerSecond float64 `json:"ratePerS"`
	Burst         float64 `json:"burst"`
	// Tokens is the number of tokens that the node holds.
	Tokens int `json:"tokens"`
	// RequestsPerSecond is the mean rate at which the node received requests in the last seconds.
	RequestsPerSecond float64 `json:"requestsPerS"`
	// AtLimit means that the limit was the reason of a refusal in the last seconds.
	AtLimit bool `json:"atLimit"`
	// Refused counts the requests that the node has refused, by reason.
	Refused map[string]uint64 `json:"refused,omitempty"`
	// LastRefusedSeconds is the time since the last refusal; null if there was none.
	LastRefusedSeconds *float64 `json:"lastRefusedSeconds"`
	// Coordinators are the nodes that this node asks for tokens, one for each part of the limit.
	Coordinators []Coordinator `json:"coordinators,omitempty"`
}
