package link

// Kind is the type of a frame.
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
	KindOutcomeRequest
	KindPing
	KindPong
	// KindPart is for a part of a large frame.
	KindPart
	KindPreviousServer
	// KindAccountRequest is for a request of a client account.
	KindAccountRequest
	// KindFreshnessRequest asks how old the sender's knowledge of the store is; KindFreshness
	// answers.
	KindFreshnessRequest
	KindFreshness
	// KindQuotaReport and KindQuotaGrant distribute the limits of accounts among the nodes.
	KindQuotaReport
	KindQuotaGrant
	// KindTransferRequest announces a large request; KindTransferGrant tells whether to send it.
	KindTransferRequest
	KindTransferGrant
	// KindTableRequest asks for the version of the peer's copy of the operator's table;
	// KindTableVersion answers.
	KindTableRequest
	KindTableVersion
	// KindSharesRequest asks what the receiver knows of the members with a share of the account limits;
	// KindShares answers. KindQuotaShareReport is a KindQuotaReport that states the sender's share.
	KindSharesRequest
	KindShares
	KindQuotaShareReport
)
