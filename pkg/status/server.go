package status

// Server is a server as the node knows it.
type Server struct {
	Service string `json:"service"`
	// Instance is the incarnation of the server, as in the log.
	Instance      string `json:"instance"`
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the number of requests that the server announces to run at once. LearnedLimit is what
	// its node lets it run; null until that node has reported its load.
	Slots        int  `json:"slots"`
	LearnedLimit *int `json:"learnedLimit"`
	Running      int  `json:"running"`
	Waiting      int  `json:"waiting"`
	// AgeSeconds is the time since the last report or announcement; 0 for the node's own server.
	AgeSeconds float64 `json:"ageSeconds"`
}
