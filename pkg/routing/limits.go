package routing

import "time"

// Limits bounds what client connections may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of one request, in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the maximum time until a request's header is complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
}

// DefaultLimits applies while no configuration is in force.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}
