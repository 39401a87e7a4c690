package ingress

import "time"

const (
	// holderKind is the kind of a client's connection in reports of held memory.
	holderKind = "client"
	// maxPipelined is the length of a connection's queue of requests in progress. Two more
	// may be in progress: the one whose response is due, and one that waits for the queue.
	maxPipelined = 32
	// bodyTimeout is how long a request body may take to arrive after its header.
	bodyTimeout = 30 * time.Second
	// writeTimeout is how long writing a response to the client may take. It is also the
	// period at which a connection without further requests is checked for its end.
	writeTimeout = 10 * time.Second
	// memoryRetryAfter is the time in seconds after which a request is invited to return
	// that found no memory.
	memoryRetryAfter = "1"
	// connectionCost is what a connection holds without a request, in bytes: two goroutines, the
	// read buffer and the queue (13.5 kB by BenchmarkIdleConnections, with the client's end).
	connectionCost = 12 << 10
	// requestCost is what a request holds besides its header fields and its body, in bytes: a
	// goroutine, and the request as it was parsed and as it is forwarded.
	requestCost = 6 << 10
	// maxAhead is how many bytes a connection may hold while further requests are read from it. It
	// is more than ordinary requests need that fill the queue.
	maxAhead = 512 << 10
	// minStall is the time without progress after which a connection may be closed if memory is
	// short. Clients on slow links make progress within a few round trips.
	minStall = 400 * time.Millisecond
	// minIdle is the same if connections are short. It leaves a new connection the time to send
	// its request.
	minIdle = 200 * time.Millisecond
	// slotWait is how long accepting stops if all connections are in use, before the newest one
	// is closed.
	slotWait = time.Second
	slotPoll = 10 * time.Millisecond
	// closeLogRate limits the log lines about connections that were closed, per second.
	closeLogRate = 2
	// closingRetryAfter is the time in seconds after which a request is invited to return that
	// was received in part when the server closed.
	closingRetryAfter = "1"
	// lingerTimeout is how long a connection is still read after its last response.
	// Closing it with unread bytes would reset it, and the client could lose the
	// response.
	lingerTimeout = 500 * time.Millisecond
	// maxReusedBuffer is the largest write buffer, in bytes, that a connection reuses.
	maxReusedBuffer = 32 << 10
	readBuffer      = 4 << 10
	// keepBuffer is how long an idle connection keeps its read buffer. Connections in steady use have
	// their next request before; giving the buffer back costs them a system call.
	keepBuffer = time.Second
)
