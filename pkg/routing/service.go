package routing

import "time"

// Service describes the servers of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that a server accepts from
	// all callers together.
	MaxConnections int
	// ColdTime is how long a server stays cold after its start, and ColdPerSecond the requests
	// per second that it takes meanwhile. With a ColdPerSecond of 0, cold servers have no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
}
