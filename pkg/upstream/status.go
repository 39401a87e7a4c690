package upstream

import "time"

// Status is the state of the upstream announced on the node's instance.
type Status struct {
	Announcement
	Draining bool `json:"draining"`
	// Since is the time of the first announcement.
	Since time.Time `json:"since"`
	// Hints are the latest poll results. They may be outdated or wrong; observed
	// results of calls take precedence.
	Hints Hints `json:"hints"`
}

// Hints are the results of polling the upstream.
type Hints struct {
	// Unhealthy is true after several consecutive failed health polls.
	Unhealthy bool `json:"unhealthy"`
	// Load is the response to the last poll of the load endpoint, nil if that poll failed
	// or there has been none.
	Load *Load `json:"load,omitempty"`
}

// Load is a response of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}
