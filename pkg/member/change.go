package member

// Change is the effect of a merged update on the table.
type Change uint8

// Effects of a merged update.
const (
	// Ignored means that the table already held the update or a later one, or cannot
	// use the update.
	Ignored Change = iota
	// Applied means that the table stored the update.
	Applied
	// Refuted means that the update made a wrong claim about this node; the node
	// raised its own sequence or incarnation and must spread its own record.
	Refuted
	// Superseded means that another live process runs under this node's instance
	// name with a later incarnation; this process must stop.
	Superseded
)
