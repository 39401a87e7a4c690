package peer

import "time"

// Protocol name and limits of the transport between nodes.
const (
	// Protocol is the ALPN protocol name.
	Protocol = "corianderwood/1"
	// MaxDatagramBytes bounds the messages sent as datagrams. QUIC packets of at least
	// 1,200 bytes can be sent, of which headers and encryption take up to 60.
	MaxDatagramBytes = 1100
	// MaxMessageBytes bounds one message; it must hold the largest section body.
	MaxMessageBytes = 2 << 20
	// MaxRequestBytes bounds one request.
	MaxRequestBytes = 512 << 10
	// MaxResponseBytes bounds the response to a request, such as the full state.
	MaxResponseBytes = 4 << 20
	// QueueSize bounds the messages that wait to be sent to one peer.
	QueueSize = 64
	// MaxQueues bounds the peers for which there are send queues at once.
	MaxQueues = 512
	// MaxConnections is the number of open connections from which on incoming ones are
	// refused. Connections that this node opens are not refused.
	MaxConnections = 256
	// IdleTimeout is the time after which an unused connection is closed. A node probes
	// each of its member.Rings successors about every 8 s and is probed so by its
	// predecessors, so that connections to partners stay open.
	IdleTimeout = 60 * time.Second
	// DialTimeout bounds the handshake.
	DialTimeout = 2 * time.Second
	// UnresponsiveTimeout is the time after something was sent within which a packet
	// must arrive from the peer; otherwise the connection is replaced. QUIC acknowledges
	// every message within 25 ms plus the round trip.
	UnresponsiveTimeout = time.Second
	// StreamTimeout bounds the time to send or receive one message on a stream.
	StreamTimeout = 5 * time.Second
	// MaxStreams bounds the streams of each kind, unidirectional and bidirectional, that
	// a peer may have open at once.
	MaxStreams = 16
	// StreamWindowBytes and ConnectionWindowBytes bound the data that a peer may send
	// before this node reads it.
	StreamWindowBytes     = 512 << 10
	ConnectionWindowBytes = 1 << 20
)
