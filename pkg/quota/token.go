package quota

// Token identifies a token that was taken, so that it can be returned.
type Token struct {
	stripe  int
	period  uint64
	expires Time
}
