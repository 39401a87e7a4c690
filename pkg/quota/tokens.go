package quota

import "time"

// Tokens is the part of a grant about one account.
type Tokens struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Granted int
	// EmptyFor is the time until the bucket is expected to have a token again; 0 if it still
	// has one.
	EmptyFor time.Duration
	// Exceeded means that nodes lack more tokens than the whole limit would give them, so that
	// a refusal is due to the limit even if not all shares are leased. Nodes with little
	// demand then return the tokens that no request waits for.
	Exceeded bool
	// Unknown means that the coordinator's configuration has no limit for the account.
	Unknown bool
}
