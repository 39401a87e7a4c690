package sidecar

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// Store is the deployment's store.
type Store interface {
	platform.Table
	platform.ChangeFeed
}

// RowCodec reads and writes the operator's rows. Its methods may be called
// from any goroutine.
type RowCodec interface {
	// Table names the operator's table.
	Table() string
	// ConfigurationKey is the key of the configuration's row.
	ConfigurationKey() string
	// Configuration reads a configuration.
	Configuration(raw []byte) (*routing.Table, error)
	// Order reads an order; the second result is false for other rows.
	Order(row rowcache.Row) (rollout.Order, bool, error)
	// Status returns the write that tells the operator the state of an order.
	Status(o rollout.Order, s rollout.State) (platform.Write, error)
}

// Registrar takes what the server beside the node says of itself.
type Registrar interface {
	Heartbeat(s instance.Server)
	Withdraw(id string)
	Malformed(source string, err error)
}

// Deployment is what the adapter of a deployment supplies.
type Deployment struct {
	Store    Store
	RowCodec RowCodec
	Headers  call.Headers
	// ParentID returns the id of the request during which a server made the
	// request with the given id.
	ParentID func(id string) (string, bool)
	// Heartbeats builds the handler for the server beside the node.
	Heartbeats func(Registrar) http.Handler
	// Readiness builds the handler for readiness checks.
	Readiness func(ready func() bool) http.Handler
	// DroppedLogLines returns how many log lines were lost.
	DroppedLogLines func() int64
	// Reload reads the settings again.
	Reload func() (Settings, error)
}
