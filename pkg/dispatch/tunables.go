package dispatch

import "time"

const (
	// nestedRepeats and clientRepeats are the parts of the deployment's ratio that
	// repeats of nested requests and of others may use. The requests that a repeated
	// request makes count as repeats too. Where all nested requests of a service come
	// from requests of one other service, the two parts add up; the rest is left for
	// windows that hold fewer requests than the one before.
	nestedRepeats = 0.6
	clientRepeats = 0.25
	// maxPlacements bounds the gates that one request is offered to.
	maxPlacements = 4
	// minRepeatTime is the time that must be left for a repeated request.
	minRepeatTime = 40 * time.Millisecond
	// notReadyRetryAfter is sent while no configuration is known.
	notReadyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is sent while the node stops; clients that return go to
	// other nodes, or to this one after its restart.
	stoppingRetryAfter = 300 * time.Millisecond
	// noServerRetryAfter is sent when no server of the service is known; a
	// server that starts is known within about a second.
	noServerRetryAfter = 400 * time.Millisecond
	// retryAfterJitter spreads the return of refused clients.
	retryAfterJitter = 0.3
	// decisionLogRate and decisionLogBurst bound the log lines on single
	// requests, per second and at once.
	decisionLogRate  = 20
	decisionLogBurst = 60
)
