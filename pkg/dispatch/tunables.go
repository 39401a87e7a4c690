package dispatch

import "time"

const (
	// nestedRetryShare and clientRetryShare are the shares of the deployment's retry
	// ratio for nested requests and for requests of clients. A retried client request
	// sends its nested requests again, which count as retries of their service too. A
	// service whose requests are all nested in those to one other service may therefore
	// get retries up to the sum of both shares; the remainder is a reserve for windows
	// with fewer requests than the window before.
	nestedRetryShare = 0.6
	clientRetryShare = 0.25
	// maxDeadline bounds the time that a client may give a request; the timeout of its
	// route is shorter.
	maxDeadline = time.Hour
	// maxOffers is the maximum number of nodes that one request is sent to.
	maxOffers = 4
	// minRetryTime is the minimum time before the deadline for sending a request again.
	minRetryTime = 40 * time.Millisecond
	// notReadyRetryAfter is returned before the first configuration was received.
	notReadyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is returned while the node stops. Clients then retry at other
	// nodes, or at this one after its restart.
	stoppingRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is returned while the memory for what others send is in use. Holders without
	// progress lose theirs within that time.
	memoryRetryAfter = time.Second
	// noServerRetryAfter is returned if no server of the service is known, or if the
	// refusals named no retry time. A server that starts is known to all nodes within
	// about a second.
	noServerRetryAfter = 400 * time.Millisecond
	// rejectedRetryAfter is returned if a server with free slots rejected the request. It is long
	// enough for other requests of the node to show which servers reject, and short beside the
	// target latency of interactive requests.
	rejectedRetryAfter = 25 * time.Millisecond
	// maxKeyBytes is the maximum size of a key of an account; it bounds the bytes that are
	// hashed for a request.
	maxKeyBytes = 4096
	// parentUnknownRetryAfter is returned for a request that looks nested and whose parent is
	// not known to be running: its sender learns of the failure soon and runs the parent again.
	parentUnknownRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is returned while the configuration may be too old to accept keys. The
	// store or a peer shows within about half a second of its return that it is current.
	staleRetryAfter = 500 * time.Millisecond
	// overloadReturnTime is the mean time after which callers would return if all requests
	// were refused: peaks of load last seconds.
	overloadReturnTime = 4 * time.Second
	// usualDeadlineQuantile is the share of the requests of a route whose callers give at most its
	// usual deadline, usualDeadlineStep the relative step of the estimate for each request.
	usualDeadlineQuantile = 0.9
	usualDeadlineStep     = 0.02
	// minReturningShare is the smallest share of the usual deadline below which a request counts as
	// one that returns. Callers of one route differ by less than a quarter. The share is otherwise
	// learned from shareWindow new requests, less returningMargin for the time on the way.
	minReturningShare = 0.75
	returningMargin   = 0.02
	shareWindow       = 64
	// returnShare is the share of the time that a caller has left within which it returns: callers
	// that are told to return later give up. It is a little less than the third that callers use,
	// for the time that the response and the return take.
	returnShare = 0.3
	// earlyReturnLimit is the share of refused requests below which refused callers are told to
	// return while they can. Beyond it, early returns take the places of requests that could be on
	// time: in an overload of 1.2 for seconds, 0.76 instead of 0.90 of the requests were on time
	// when all callers could return.
	earlyReturnLimit = 0.15
	// refusedShareTime is the time constant of the share of refused requests, assumedRequests
	// the number of further requests by which it is reduced.
	refusedShareTime = time.Second
	assumedRequests  = 3
	// retryAfterJitter is the relative random addition to retry times, which spreads
	// the retries of refused clients.
	retryAfterJitter = 0.3
	// maxRecentIDs is the number of request ids that are kept to notice repeated ones, some
	// 100 kB.
	maxRecentIDs = 2048
	// maxOnceIDs is the number of ids that are kept of requests that must not run twice. A
	// client repeats a request within its deadline.
	maxOnceIDs = 4096
	// decisionLogRate and decisionLogBurst limit the log lines about single requests,
	// in lines per second and in lines at once.
	decisionLogRate  = 20
	decisionLogBurst = 60
)
