package status

// Node describes the node itself.
type Node struct {
	Node          string `json:"node"`
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	// Process is the random id of the process, as in the log.
	Process uint64 `json:"process,string"`
	Ready   bool   `json:"ready"`
	// Reason tells why the node is not ready.
	Reason string `json:"reason,omitempty"`
	// Configuration is the version of the configuration in force, 0 if there is none.
	Configuration uint64 `json:"configuration"`
	// StoreEra is the newest era of the store of which the node has rows.
	StoreEra uint64 `json:"storeEra"`
	// FreshSeconds is how long keys are accepted if nothing more is heard of the store; null if that
	// does not depend on the age of the configuration.
	FreshSeconds *float64 `json:"freshSeconds"`
	// Draining means that the node is stopping or that its server gets no new requests.
	Draining bool `json:"draining"`
}
