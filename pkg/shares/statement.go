package shares

import "time"

// Statement is what a node tells another one about its knowledge of the row.
type Statement struct {
	_ struct{} `cbor:",toarray"`
	// Version is that of the newest row that the node knows.
	Version uint64
	// Current means that reads of the store have shown the row to be current, Age how long ago.
	Current bool
	Age     time.Duration
	// Confirms means that the process has read the store itself. Neither it nor an earlier process of the
	// node has then learned of a newer version up to now.
	Confirms bool
}
