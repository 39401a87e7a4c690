package status

// Evacuation is the evacuation of a failure domain.
type Evacuation struct {
	FailureDomain string `json:"failureDomain"`
	// KnownSeconds is the time since the node learned of it.
	KnownSeconds float64 `json:"knownSeconds"`
	// OwnServer means that the evacuation keeps requests from the node's own server.
	OwnServer bool `json:"ownServer"`
}
