package call

// Headers holds the names of the HTTP headers that the node reads and sets. They
// differ between deployments; the deployment's adapter supplies them.
type Headers struct {
	// RequestID carries the id that the client gave to one attempt.
	RequestID string
	// Deadline carries the time that the sender still waits, in milliseconds.
	Deadline string
	// Signature is set by the server on every complete response.
	Signature string
	// ExpectInstance names the only server that may run the request.
	ExpectInstance string
	// NotExecuted marks a response to a request that the server did not run.
	NotExecuted string
	// ServerLoad carries the number of requests that the server itself counts.
	ServerLoad string
	// CallerService names the service whose node received the request.
	CallerService string
	// Account names the client account of the request. Only the node sets it.
	Account string
	// ColdTime carries, in health responses, how much longer the server stays cold, in
	// milliseconds.
	ColdTime string
	// Instance names the server that sent the response.
	Instance string
}
