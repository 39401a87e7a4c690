package config

// Limits bound the concurrent work of one upstream of a service.
type Limits struct {
	// Slots is the maximum number of concurrent calls on one upstream.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections from other nodes that a node accepts for
	// one upstream: those of calls and of outcome queries.
	Connections int `json:"connections"`
	// Queue is the maximum number of calls that wait for a slot.
	Queue int `json:"queue"`
}
