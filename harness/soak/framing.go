package soak

// framing is what tells where a response ends.
type framing int

const (
	byLength framing = iota
	byChunks
	// byEnd means the end of the connection.
	byEnd
)
