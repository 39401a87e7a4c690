package quota

// Process identifies one process of a node. Each start of a node has another ID.
type Process struct {
	Node string
	ID   uint64
}
