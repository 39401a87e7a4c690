package link

import "time"

const (
	// outboundFrames bounds the frames that wait to be written; a link that
	// is further behind is closed.
	outboundFrames = 512
	// outboundTransfers bounds the large frames that wait to be written.
	outboundTransfers = 256
	// controlTarget is the time within which a large frame about the mesh itself,
	// such as a configuration, should be sent.
	controlTarget = 300 * time.Millisecond
	// maxFrameBytes bounds one frame: the largest body and its headers.
	maxFrameBytes = 80 << 20
	// pingAfter is how long requests may be outstanding without any frame from
	// the peer before the link is checked.
	pingAfter = 300 * time.Millisecond
	// pongTimeout is how long the check may take; a slowed instance needs
	// several hundred milliseconds.
	pongTimeout = 800 * time.Millisecond
	// checkInterval is how often a link with outstanding requests is looked at.
	checkInterval = 100 * time.Millisecond
	// answerMargin is how long after its deadline work for a peer may answer.
	answerMargin = 50 * time.Millisecond
	// writeBatchBytes bounds the small frames that are written together.
	writeBatchBytes = 64 << 10
	// writeTimeout bounds the time in which the connection takes a batch or a part.
	writeTimeout = 5 * time.Second
	helloTimeout = 2 * time.Second
	readBuffer   = 16 << 10
)
