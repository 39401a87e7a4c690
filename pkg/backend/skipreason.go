package backend

// skipReason is why a response of the server is not the one to the request in progress.
type skipReason string

const (
	// skipInterim is an interim response (1xx).
	skipInterim skipReason = "interim"
	// skipCopy is a response with the id of an earlier request on the connection.
	skipCopy skipReason = "earlier-request"
	// skipForeign is a response with an id that the connection has not carried.
	skipForeign skipReason = "foreign-id"
	// skipNoID is a response without an id.
	skipNoID skipReason = "no-id"
)
