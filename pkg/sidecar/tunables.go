package sidecar

import "time"

const (
	// meshTable is the table of the system's own rows; node rows tell peers'
	// addresses, move rows the states of roll-outs.
	meshTable     = "mesh"
	nodeKeyPrefix = "node/"
	moveKeyPrefix = "move/"

	// feedWait is how long a call for changes waits. A call that a silent
	// connection has lost ends after it.
	feedWait = 4 * time.Second
	// followersPerDomain is how many nodes of a failure domain follow the store's
	// feeds for all. Two, so that the loss of one delays no change; the followers of
	// the other domains stand in for both.
	followersPerDomain = 2
	// followerExpiry is how long a follower counts without a word: the wait and the
	// pause of one call for changes, and a second for a slow store.
	followerExpiry = feedWait + 2*feedPause + time.Second
	// followCheck is how often a node that does not follow looks whether it should.
	followCheck = 500 * time.Millisecond
	// firstLinks is the time after its first read of a table in which a node opens
	// links to its peers.
	firstLinks = 500 * time.Millisecond
	// standInBackoff is the wait of nodes that follow only because others fail, after
	// a failed call: when the store is down, all of them try.
	standInBackoff = 3 * time.Second
	// feedPause is the time between two calls for changes, so that changes in
	// quick succession share a call. Meanwhile peers tell of newer rows.
	feedPause = 500 * time.Millisecond
	// storeBackoffMin and storeBackoffMax bound the wait after a failed call.
	// The longest is below the time in which the deployment expects entries
	// back after an outage, and calls that fail are charged too.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 700 * time.Millisecond
	// relistJitter spreads full reads after the store has dropped its history.
	relistJitter = 150 * time.Millisecond
	// peerRowsDelay is how long a follower that is behind a peer waits for the
	// store's own feed before it asks the peer.
	peerRowsDelay = 200 * time.Millisecond
	// rowsSpread spreads the requests of other nodes for rows over the followers of
	// their failure domain.
	rowsSpread = 60 * time.Millisecond
	// foreignRowsDelay is how long a node waits for rows from its own failure domain
	// before it asks a follower of another one; traffic between domains is charged.
	foreignRowsDelay = 400 * time.Millisecond

	// introductions bounds the nodes that wait to be dialed in return.
	introductions = 64
	// redialMin and redialMax bound the wait between two attempts to reach a peer.
	redialMin = 20 * time.Millisecond
	redialMax = time.Second

	// heartbeatsMissed is how many heartbeats a server may miss; single
	// heartbeats arrive seconds late.
	heartbeatsMissed = 4
	// recallMargin is added to the time of a heartbeat, and left before the bound of a
	// leave, for a server that peers remember.
	recallMargin = 300 * time.Millisecond
	// failingRate and recoveredRate are the failure rates at which peers are told that
	// the server beside the node fails and that it may be tried again.
	failingRate   = 0.3
	recoveredRate = 0.15
	// serverCheckInterval is how often lost servers are looked for.
	serverCheckInterval = 250 * time.Millisecond
	// rolloutInterval is how often evidence is sent and orders are decided.
	rolloutInterval = 200 * time.Millisecond
	// recordStagger is the time between the turns of nodes to record a state.
	recordStagger = 600 * time.Millisecond

	// leaveNotice is the time in which peers learn that this node stops.
	leaveNotice = 300 * time.Millisecond
	// minStop is how long clients are served after the request to stop; they
	// leave after two failed readiness checks, one a second.
	minStop = 2300 * time.Millisecond
	// stopMargin is left before the kill.
	stopMargin   = 600 * time.Millisecond
	stopInterval = 50 * time.Millisecond

	// extraRepeatsShare is the part of the deployment's extra repeats that is used;
	// nodes that start do not know all others yet.
	extraRepeatsShare = 0.5
	// memoryShare is the part of the memory limit at which the garbage
	// collector works harder.
	memoryShare = 0.6
	// malformedLogRate bounds log lines on malformed input, per second.
	malformedLogRate = 2
	logLines         = 1024
)
