package backend

// skipReason is why a response of the server is not the one to the request in progress.
type skipReason string

const (
	// skipInterim is an interim response (1xx).
	skipInterim skipReason = "interim"
	// skipCopy is a second response to an earlier request on the connection.
	skipCopy skipReason = "earlier-request"
	// skipDiffers is a response with the id of an earlier request on the connection, but not with
	// the signature of the response to that one.
	skipDiffers skipReason = "differs"
	// skipForeign is a response with an id that the connection has not carried.
	skipForeign skipReason = "foreign-id"
	// skipNoID is a response without an id, or with several.
	skipNoID skipReason = "no-id"
)
