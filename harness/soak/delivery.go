package soak

// delivery is how the response to one request is delivered.
type delivery struct {
	// status is what the server records as its response: the status of the first response, or
	// noResponse if that does not arrive whole.
	status  int
	framing framing
	blocks  int    // of the body, besides its end
	name    string // for the counts; empty for a whole response
	send    func(*serverConnection, response) error
}
