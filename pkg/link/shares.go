package link

import "corianderwood.example/corianderwood/pkg/shares"

// SharesRequest asks what a node knows of the members with a share of the account limits.
type SharesRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the answer.
	Number uint64
}

// Shares answers a SharesRequest.
type Shares struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	Statement shares.Statement
}
