package proxy

import "time"

const (
	// MaxDepth is the maximum number of calls in a chain. It ends call cycles between
	// services.
	MaxDepth = 32
	// MaxCallTimeout bounds the deadline of every call.
	MaxCallTimeout = 60 * time.Second
	// DefaultCallTimeout applies if neither route nor service states a timeout.
	DefaultCallTimeout = 5 * time.Second
	// MaxHeaderBytes bounds the headers of a request or response.
	MaxHeaderBytes = 64 << 10
	// peerHeaderSlack is the size in bytes by which headers may exceed MaxHeaderBytes
	// between nodes, because nodes add headers.
	peerHeaderSlack = 8 << 10
	// DefaultMaxBodyBytes bounds a request body.
	DefaultMaxBodyBytes = 256 << 20
	// bufferedBody is the largest body, in bytes, that a node buffers completely. A
	// request body up to this size is read before the call is forwarded, so that the call
	// can be retried. A response body is read before its headers are sent, so that an
	// error can still be returned if a connection breaks. It equals the largest body that
	// the ledger stores.
	bufferedBody = 64 << 10
	// copyBuffer is the size in bytes of a buffer for a streamed body.
	copyBuffer = 32 << 10

	// stallCheckAfter is how long an exchange with an upstream's node may make no progress
	// before it is checked over another connection. Detecting a stalled connection takes
	// at most two such periods, the probe and arrivalGrace, which is about 1 s. If the node
	// is running the call, it takes a third period and a second probe.
	stallCheckAfter = 300 * time.Millisecond
	// probeTimeout bounds one progress query over a new connection.
	probeTimeout = 250 * time.Millisecond
	// arrivalGrace is how long bytes already sent by the other side may take to arrive
	// before the connection counts as stalled.
	arrivalGrace = 100 * time.Millisecond
	// probeReuseTimeout bounds one progress query over an idle connection, which may be
	// stalled itself; the query is then repeated over a new connection. Without reuse,
	// each call to a slow upstream would need a TLS handshake per stallCheckAfter.
	probeReuseTimeout = 100 * time.Millisecond
	// maxIdleForQuery is the longest idle time after which a connection is used for an outcome
	// query. It is short because the response to a query may take long, so that a stalled
	// connection would be noticed late.
	maxIdleForQuery = 250 * time.Millisecond
	// queryWait is how long one outcome query waits at the upstream's node for a running
	// call. It also bounds the growing wait after a failed query.
	queryWait = time.Second
	// queryGrace is the time that an outcome query may take in addition to queryWait.
	queryGrace = 300 * time.Millisecond
	// cancelTimeout bounds the request that cancels a call at the upstream's node.
	cancelTimeout = time.Second

	// maxIdleNonRepeatable is the longest idle time after which a connection to the
	// upstream is used for a request that may not be repeated. If the upstream has closed
	// the connection meanwhile, the outcome of the request would be unknown.
	maxIdleNonRepeatable = time.Second
	// maxIdlePerAddress bounds the idle connections of a pool.
	maxIdlePerAddress = 16
	// idleTimeout is how long a pooled connection stays open unused. It is below
	// serverIdleTimeout, so that the client side closes first.
	idleTimeout = 30 * time.Second
	// sweepInterval is the period at which pools check their idle connections, and close those
	// idle for idleTimeout.
	sweepInterval = time.Second
	// noReuseTime is how long connections to an address are not reused after its server sent
	// bytes outside of an exchange.
	noReuseTime = 10 * time.Minute
	// maxWatchedPerAddress bounds the idle connections that are kept meanwhile to see whether the
	// server still does so. It is small because they count against the server's connections.
	maxWatchedPerAddress = 4
	// restAfter is how long a connection whose responses name no exchange is used until it rests
	// for restTime, which is longer than most upstreams take to respond. A rest costs at most one
	// new connection, since connections return from it.
	restAfter = 500 * time.Millisecond
	restTime  = 100 * time.Millisecond
	// unreadDataTimeout is how long a connection that has data on its socket is read to tell
	// bytes of the server from the end of TLS.
	unreadDataTimeout = time.Millisecond
	// dialTimeout bounds the opening of a connection, including the TLS handshake.
	dialTimeout = time.Second

	// serverIdleTimeout is how long a listener keeps an idle connection.
	serverIdleTimeout = 90 * time.Second
	// lingerOnStop is how long a stopping server still accepts requests. It covers requests
	// that were sent before the stop but have not arrived, and the time in which an
	// ingress node detects a stalled connection and queries the outcome of its call.
	lingerOnStop = 1500 * time.Millisecond
	// idlePollInterval is the period at which a stopping peer server checks for running calls.
	idlePollInterval = 10 * time.Millisecond
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// earlyResponseTimeout is how long an exchange whose request could not be sent in full waits
	// for a response that the server may have sent before it closed the connection.
	earlyResponseTimeout = 100 * time.Millisecond
	// unreadBodyTimeout bounds the reading of a request body that is no longer needed.
	// Closing the connection with unread bytes would reset it, and the response could be
	// lost.
	unreadBodyTimeout = 500 * time.Millisecond
	// writeGrace is how long after the deadline of the call a streamed response may still
	// be written.
	writeGrace = time.Second
	// maxInterim bounds the responses read for a request, 1xx and final ones together.
	maxInterim = 8

	// minResponseTime is the shortest time in which a response to a retry can be expected.
	minResponseTime = 2 * time.Millisecond
	// outcomeLimit is the largest body, in bytes, of the response to an outcome query. It
	// has room for a stored response body and its headers.
	outcomeLimit = 2*(MaxHeaderBytes+peerHeaderSlack) + 2*bufferedBody
)
