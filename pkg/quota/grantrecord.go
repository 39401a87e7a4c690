package quota

// grantRecord is a number of tokens that a node may hold until they expire.
type grantRecord struct {
	number  uint64 // of the grant
	tokens  int
	expires Time
}
