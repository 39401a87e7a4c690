package sidecar

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/backend"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/rowcache"
	"corianderwood.example/corianderwood/pkg/shares"
)

// Store is the deployment's key-value store with its change feed.
type Store interface {
	platform.Table
	platform.ChangeFeed
}

// RowCodec decodes and encodes the rows that the operator writes and reads. Its
// methods must be safe for concurrent use.
type RowCodec interface {
	// Table returns the name of the operator's table.
	Table() string
	// ConfigurationKey returns the key of the configuration row.
	ConfigurationKey() string
	// Configuration decodes a configuration.
	Configuration(raw []byte) (*routing.Table, error)
	// Order decodes a rollout order; the second result is false for other rows.
	Order(row rowcache.Row) (rollout.Order, bool, error)
	// Evacuation returns the failure domain whose evacuation a row orders; the second result is
	// false for other rows.
	Evacuation(row rowcache.Row) (failureDomain string, ok bool)
	// Status returns the write that reports the state of an order to the operator.
	Status(o rollout.Order, s rollout.State) (platform.Write, error)
}

// Registrar receives the heartbeats and withdrawals of the local server. Its methods
// are called from the goroutines of the HTTP handler.
type Registrar interface {
	// Heartbeat processes a valid heartbeat and reports whether it is acknowledged. That a
	// server leaves is not, if it could not be preserved for later processes.
	Heartbeat(s instance.Server) bool
	// Withdraw removes the registration of the server with the given id and reports whether
	// that is acknowledged.
	Withdraw(id string) bool
	// Malformed reports a heartbeat that cannot be decoded; source is the address of its
	// sender.
	Malformed(source string, err error)
}

// Deployment holds the parts that depend on the deployment platform. All fields but BootTime
// and ShareTiming are required.
type Deployment struct {
	Store    Store
	RowCodec RowCodec
	Headers  call.Headers
	// ServerNotice decodes what a server says of itself in the headers of a response.
	ServerNotice backend.DecodeNotice
	// ParentID returns the id of the request that a server was processing when it sent
	// the request with the given id.
	ParentID func(id string) (string, bool)
	// Heartbeats returns the handler for the heartbeats of the local server.
	Heartbeats func(Registrar) http.Handler
	// Readiness returns the handler for readiness checks.
	Readiness func(ready func() bool) http.Handler
	// DroppedLogLines returns how many log lines were dropped.
	DroppedLogLines func() int64
	// BootTime returns the time since the boot of the instance, including the time for which it was
	// frozen. With nil, the kernel's CLOCK_BOOTTIME is read.
	BootTime func() time.Duration
	// ShareTiming holds the times of epochs of the nodes with a share of account limits; zero means
	// shares.DefaultTiming.
	ShareTiming shares.Timing
	// Reload reads and checks the settings file again.
	Reload func() (Settings, error)
}
