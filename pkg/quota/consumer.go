package quota

// consumer is a process of a node that a coordinator grants tokens to.
type consumer struct {
	reports    uint64 // number of the last report
	grants     uint64 // number of the last grant
	reportedAt Time
	// accounts holds the names of the accounts of which it was granted tokens that may not
	// have been used.
	accounts map[string]struct{}
	// lacking holds the names of the accounts of which it lacked tokens at the last report.
	lacking map[string]struct{}
}
