package status

// Memory describes what the node holds for clients, its server and other nodes.
type Memory struct {
	Purposes []MemoryPurpose `json:"purposes"`
	// Holders are the connections that hold most, at most MaxHolders.
	Holders []MemoryHolder `json:"holders"`
}
