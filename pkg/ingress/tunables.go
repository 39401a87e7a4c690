package ingress

import "time"

const (
	// maxPipelined bounds the requests of one connection that are in progress at the
	// same time.
	maxPipelined = 32
	// bodyTimeout is how long a request body may take to arrive after its header.
	bodyTimeout = 30 * time.Second
	// writeTimeout is how long writing a response to the client may take.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is still read after its last response.
	// Closing it with unread bytes would reset it, and the client could lose the
	// response.
	lingerTimeout = 500 * time.Millisecond
	// maxReusedBuffer is the largest write buffer, in bytes, that a connection reuses.
	maxReusedBuffer = 32 << 10
	readBuffer      = 4 << 10
)
