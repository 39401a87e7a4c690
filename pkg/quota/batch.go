package quota

// batch is a number of tokens with the same expiry.
type batch struct {
	tokens  int
	expires Time
}
