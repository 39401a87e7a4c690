package quota

// sent is a report that a grant may respond to.
type sent struct {
	number uint64 // 0 after its grant
	at     Time
}
