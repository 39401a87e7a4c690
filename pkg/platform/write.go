package platform

// Condition is the condition under which a write is applied.
type Condition int

// Conditions of a write.
const (
	Always     Condition = iota // no condition
	IfAbsent                    // no row with the key exists
	IfRevision                  // the row's revision equals Write.Revision
)

// Write puts or deletes one row.
type Write struct {
	Key       string
	Value     []byte
	Delete    bool
	Condition Condition
	// Revision is the expected revision for IfRevision.
	Revision uint64
}
