package link

// Kind tells what a frame carries.
type Kind uint8

// Kinds of frames.
const (
	KindHello Kind = iota + 1
	KindServer
	KindRequest
	KindResponse
	KindCancel
	KindVersions
	KindRowsWanted
	KindRows
	KindEvidence
	KindOutcomeWanted
	KindPing
	KindPong
	// KindPart carries a part of a large frame.
	KindPart
	KindRecall
)
