package link

import (
	"time"

	"corianderwood.example/corianderwood/pkg/uplink"
)

const (
	// holderKind is the kind of a link in reports of held memory.
	holderKind = "link"
	// outboundFrames bounds the frames below uplink.PartBytes that wait to be written; a
	// link whose queue is full is closed.
	outboundFrames = 512
	// outboundTransfers bounds the frames from uplink.PartBytes up that wait to be
	// written, with the same effect.
	outboundTransfers = 256
	// controlSoftDeadline is the time within which a large frame that is no request or
	// response, such as one with a configuration, should be sent.
	controlSoftDeadline = 300 * time.Millisecond
	// maxFrameBytes bounds one frame, whether it is sent in parts or not; it must hold the
	// largest body of a request or response with its headers.
	maxFrameBytes = 80 << 20
	// maxUndividedBytes bounds the body of a frame that is not divided into parts, and of a
	// part.
	maxUndividedBytes = uplink.PartBytes + partHeader
	// maxAnnouncedTime bounds the deadlines of announced requests, either way.
	maxAnnouncedTime = time.Hour
	// maxHelloBytes bounds the body of a hello.
	maxHelloBytes = 4 << 10
	// maxRowsBytes bounds the decompressed rows of a table.
	maxRowsBytes = 16 << 20
	// frameTimeout is how long the body of a frame or a part may take to arrive after its
	// header.
	frameTimeout = 5 * time.Second
	// pingAfter is how long requests may be outstanding without any bytes received from
	// the peer before the peer is pinged.
	pingAfter = 300 * time.Millisecond
	// pongTimeout is how long the peer has to respond to pings before the link is closed;
	// an instance that is slowed down needs several hundred milliseconds.
	pongTimeout = 800 * time.Millisecond
	// silentAfter is how long the peer has to respond to a ping before the link counts as
	// silent.
	silentAfter = 300 * time.Millisecond
	// checkInterval is the time between two checks of a silent link.
	checkInterval = 100 * time.Millisecond
	// responseMargin is how long after the deadline of a request work on it may still
	// produce a response.
	responseMargin = 50 * time.Millisecond
	// writeBatchBytes bounds the total size of small frames written in one call.
	writeBatchBytes = 64 << 10
	// writeTimeout bounds one write of a batch of small frames or of a part.
	writeTimeout = 5 * time.Second
	// helloTimeout bounds the time from sending the own hello to receiving the peer's.
	helloTimeout = 2 * time.Second
	// minStall is the time without progress after which a link that holds memory may be closed if
	// memory is short. A peer whose network link is full sends parts of a large
	// frame that late.
	minStall = 3 * time.Second
	// reclaimLogRate limits the log lines about links that were closed for their memory, per second.
	reclaimLogRate = 2
	// readBuffer is the size of a link's buffer for received bytes. It holds most frames
	// whole; a node keeps one buffer for each link.
	readBuffer = 2 << 10
)
