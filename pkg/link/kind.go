package link

// Kind tells what a frame carries.
type Kind uint8

// Kinds of frames.
const (
	KindHello Kind = iota + 1
	KindServerState
	KindRequest
	KindResponse
	KindCancel
	KindVersions
	KindRowsRequest
	KindRows
	KindEvidence
	KindOutcomeWanted
	KindPing
	KindPong
	// KindPart carries a part of a large frame.
	KindPart
	KindPreviousServer
)
