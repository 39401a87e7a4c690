package status

// MemoryPurpose is the memory that is held for one purpose. The memory of the purpose PurposeAll
// includes that of the others.
type MemoryPurpose struct {
	Purpose string `json:"purpose"`
	Held    int64  `json:"heldBytes"`
	Limit   int64  `json:"limitBytes"`
}

// Purposes of memory.
const (
	PurposeAll       = "all"
	PurposeRequests  = "request-bodies"
	PurposeResponses = "response-bodies" // of the node's own server
	PurposeLinks     = "link-frames"     // large frames of other nodes that are being received
)
