package backend

import "time"

const (
	// memoryRetryAfter is the time after which a request may be sent again that was refused for lack
	// of memory.
	memoryRetryAfter = time.Second
	// defaultKeepAlive is how long an idle connection is kept if the server sends no
	// Keep-Alive timeout. Most servers close idle connections after 10 s.
	defaultKeepAlive = 8 * time.Second
	// maxKeepAlive bounds the idle timeout that a server may name.
	maxKeepAlive = time.Hour
	// keepAliveMargin is how long before the server's idle timeout a connection is no
	// longer used, so that no request is sent while the server closes it.
	keepAliveMargin = 500 * time.Millisecond
	// livenessCheckAfter is the idle time after which a connection is checked for a close or
	// unexpected bytes before it is used. For requests that must not run twice it is checked always.
	livenessCheckAfter = 20 * time.Millisecond
	// maxIdleUnsafe is the longest idle time of a connection that is used for a request
	// that must not run twice. If the server has dropped the connection, the request
	// is lost and it is unknown whether it ran.
	maxIdleUnsafe = time.Second
	// maxRequestsPerConnection bounds the requests that a connection carries, and so the
	// memory for their ids to some 10 kB.
	maxRequestsPerConnection = 1024
	// maxPassedOver is the number of idle connections that may all have carried the id of a
	// request before one of them is closed in exchange for a new one. Servers limit the
	// connections from all callers.
	maxPassedOver = 8
	// maxStrayResponses bounds the responses read for a request, including the interim ones,
	// besides one copy for each request that the connection has carried.
	maxStrayResponses = 4
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the response is
	// read. A longer one is written concurrently, because the server may respond before
	// it has read the body.
	maxInlineBody = 16 << 10
	// lateWriteTimeout is how long writing the rest of a body may take after the response.
	lateWriteTimeout = 2 * time.Second
	// responseMargin is how long to wait for a response after the deadline. The server
	// itself ends the request at its deadline.
	responseMargin = 30 * time.Millisecond
	readBuffer     = 8 << 10
	// healthTimeout limits a request to the server's health check, maxHealthBody how much of the
	// body is read. maxColdTime bounds the cold time that its response may name.
	healthTimeout = time.Second
	maxHealthBody = 64 << 10
	maxColdTime   = time.Hour
	// responseLogRate and repeatedLogRate limit the log lines about single responses and about
	// repeated ids, in lines per second.
	responseLogRate = 5
	repeatedLogRate = 5
)
