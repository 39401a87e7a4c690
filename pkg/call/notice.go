package call

// ServerNotice is what a server says of itself in a response, besides the response itself.
type ServerNotice struct {
	// Limited means that the server names a limit; RequestLimit is the number of requests
	// per second that it takes from all nodes together.
	Limited      bool
	RequestLimit float64
	// Leaving means that the server will stop and must not get new requests.
	Leaving bool
	// Slowness is how long work takes on the server's machine now, relative to the usual; 0 if
	// the server does not say.
	Slowness float64
}
