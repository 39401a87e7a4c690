package quota

// Demand is the part of a report about one account. An account without demand and tokens has none.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Held is the number of tokens of the stripe that the node keeps, Returned the number
	// that it gives back and Wanted the number that it asks for.
	Held, Returned, Wanted int
}
