package status

// MemoryHolder is a connection for which memory is held.
type MemoryHolder struct {
	// Kind is "client" or "link".
	Kind string `json:"kind"`
	// Address is that of the far end.
	Address string `json:"address"`
	// Account is the account of the last request on the connection; empty if there is none.
	Account string `json:"account,omitempty"`
	Bytes   int64  `json:"bytes"`
	// StalledSeconds is the time without progress.
	StalledSeconds float64 `json:"stalledSeconds"`
}
