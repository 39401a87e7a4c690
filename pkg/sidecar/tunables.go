package sidecar

import "time"

const (
	// meshTable is the table of the mesh's own rows: node rows hold the addresses of
	// nodes, move rows the states of rollouts, departure rows the servers beside a node
	// that have left.
	meshTable          = "mesh"
	nodeKeyPrefix      = "node/"
	moveKeyPrefix      = "move/"
	departureKeyPrefix = "departed/"
	// accountMembersKey is the row with the nodes that have a share of the account limits.
	accountMembersKey = "account-limits"

	// minConfigApply is the shortest Bounds.ConfigApply that a node accepts, because the
	// interval of its requests to the store is derived from it.
	minConfigApply = 200 * time.Millisecond
	// meshFeedWait is how long a request for changes of meshTable waits. Nodes also learn
	// of each other by their links, so a lost request may delay its rows.
	meshFeedWait = 4 * time.Second
	// maxReadRepeats limits the repeats of one read of the store.
	maxReadRepeats = 3
	// followersPerDomain is how many nodes of a failure domain follow the store's
	// feeds. With two, the loss of one delays no change; if both are lost, the
	// followers of other domains supply the rows.
	followersPerDomain = 2
	// singleFollowerDomains is the number of failure domains with followers from which one in
	// each is enough: five in all, of which the loss of any two leaves three.
	singleFollowerDomains = 5
	// followerExpiry is how long a follower's report stays valid: the wait and the
	// pause of one feed request, and one second for a slow store.
	followerExpiry = meshFeedWait + 2*feedPause + time.Second
	// followCheckInterval is the mean interval at which a node that does not follow the
	// feeds checks whether it is elected to.
	followCheckInterval = 500 * time.Millisecond
	// linkSetupDelay is how long a node waits after its first read of a table, so that
	// links to its peers are established before it continues with the feed.
	linkSetupDelay = 500 * time.Millisecond
	// meshReadWait is how long a starting node waits for its read of meshTable before it reads
	// the operator's table too. firstRowsWait is how long a node that is new to the mesh waits
	// for peers to send that table, and awaitInterval how often it looks.
	meshReadWait  = 100 * time.Millisecond
	firstRowsWait = time.Second
	awaitInterval = 5 * time.Millisecond
	// substituteDelay is the time after which the next node of a failure domain tries to
	// follow the feeds while too few do: a failed request and its announcement.
	substituteDelay = time.Second
	// substituteBackoff is the mean wait after a failed request of a node that follows
	// the feeds only because preferred nodes do not. It is longer because all such
	// nodes try when the store is down.
	substituteBackoff = 3 * time.Second
	// feedPause is the mean pause between two feed requests, so that changes in quick
	// succession share one request. Meanwhile peers announce newer rows.
	feedPause = 500 * time.Millisecond
	// storeBackoffMin and storeBackoffMax limit the mean wait after a failed request; a
	// wait is 0.5 to 1.5 times the mean. The maximum is below the time within which the
	// deployment expects entries to be restored after an outage; the wait is needed
	// because failed requests are billed too.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 700 * time.Millisecond
	// relistJitter spreads the full reads of all followers over time after the store
	// has discarded its change history.
	relistJitter = 150 * time.Millisecond
	// peerRowsDelay is how long a follower that is behind a peer waits for the feed
	// before it requests the rows from the peer.
	peerRowsDelay = 200 * time.Millisecond
	// rowsJitter is the maximum random delay before a node that does not follow the
	// feeds requests rows. It spreads the requests over the followers of the failure
	// domain.
	rowsJitter = 60 * time.Millisecond
	// otherDomainRowsDelay is how long a node waits for rows from its own failure domain
	// before it requests them from another one; traffic between failure domains is
	// billed.
	otherDomainRowsDelay = 400 * time.Millisecond

	// revokeMargin is subtracted from Bounds.Revoke: the clocks of two instances run at different
	// rates, and a request takes a moment from its sending to the check of its key.
	revokeMargin = 200 * time.Millisecond
	// minRevoke is the shortest Bounds.Revoke that a node accepts with Bounds.StrictRevoke. Below
	// some 4 s, keys are refused now and then although nothing is wrong: the last answered read
	// of a follower was sent up to 3.3 s ago.
	minRevoke = time.Second
	// feedWaitShare limits the wait of a feed request to a part of the time for which its answer
	// counts. It leaves the usual wait as it is with a bound of 5 s.
	feedWaitShare = 0.3
	// checkAgeInterval is how often a node checks at least whether accounts are in force and how
	// old the configuration is. Timers stand still while an instance is frozen, the age does not.
	checkAgeInterval = time.Second
	// configurationRequestInterval is the minimum time between two requests for a configuration
	// that a peer has in force and this node has not: it may be unable to apply it.
	configurationRequestInterval = 2 * time.Second

	// helloQueueSize limits the number of nodes that wait to be dialed back.
	helloQueueSize = 64
	// redialMin and redialMax limit the mean wait between two connection attempts to a
	// peer; a wait is 0.5 to 1.5 times the mean.
	redialMin = 20 * time.Millisecond
	redialMax = time.Second

	// probeInterval is the minimum time between two probes of all links.
	probeInterval = time.Second

	// departureStoreTimeout limits the wait for the store before it is acknowledged that the
	// local server leaves: the server needs the acknowledgement within a second.
	// departureWriteTimeout is that of the first write and leaves time for a second one; it
	// doubles after each failure, since a slow store may need longer.
	departureStoreTimeout = 500 * time.Millisecond
	departureWriteTimeout = 200 * time.Millisecond
	// leaveCopies is how many peers must have been sent that the local server leaves before
	// that is acknowledged while the store is away; with two, the loss of one does no harm.
	// leaveCopiesTimeout limits the wait.
	leaveCopies        = 2
	leaveCopiesTimeout = 300 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals after which a server is
	// considered lost; single heartbeats arrive seconds late.
	maxMissedHeartbeats = 4
	// restoreMargin is the safety margin for the state of the local server restored from
	// a peer: it stays valid for one heartbeat interval plus the margin, and expires at
	// least the margin before Bounds.Drain. A server with an unconfirmed heartbeat is used
	// for the same time after it.
	restoreMargin = 300 * time.Millisecond
	// processStartTime is the longest time from the start of a process until New, which an
	// instance with a share of a processor takes.
	processStartTime = 100 * time.Millisecond
	// minHeartbeatSpacing is the least time between two heartbeats of which the second confirms
	// the first, as a share of their interval.
	minHeartbeatSpacing = 0.2
	// failingRate is the failure rate above which the local server is announced to peers
	// as failing, recoveredRate the rate at which it is announced as recovered.
	failingRate   = 0.3
	recoveredRate = 0.15
	// limitReportShare is the share by which the limit that the local server names must
	// change before the change is reported.
	limitReportShare = 0.1
	// coldLogRate limits the log lines about possible restarts of the local server, per second.
	coldLogRate = 1
	// serverCheckInterval is how often the node checks whether the local server is lost.
	serverCheckInterval = 250 * time.Millisecond
	// rolloutInterval is how often evidence is sent and active rollouts are evaluated.
	rolloutInterval = 200 * time.Millisecond
	// recordStagger is the delay between the attempts of successive nodes to record a
	// rollout state.
	recordStagger = 600 * time.Millisecond

	// tokenWait is how long a request of a limited account waits for a token: a report and its
	// grant, to two coordinators if the first has none.
	tokenWait = 100 * time.Millisecond
	// waitCheckInterval is how often reports are considered while requests wait, and the least time
	// between two checks otherwise.
	waitCheckInterval = 5 * time.Millisecond
	// coordinatorCheckInterval is how often the coordinators are chosen by the links that work.
	coordinatorCheckInterval = 200 * time.Millisecond
	// memberCheckInterval is how often a node checks whether the nodes with a share are known.
	// membersSettle is how long the set of nodes must be unchanged at least before it is written,
	// membersSettleLong while some nodes with a row have no link, and for a node that is alone.
	// membersSettleMost is the longest wait for a set that keeps changing, if it has half of the nodes
	// with a row: the row of a node that is gone had delayed the first tokens of 16 nodes that started
	// within 9 s to 18 s. memberStagger is the delay between the attempts of successive nodes,
	// memberRetry the wait after one.
	memberCheckInterval = 100 * time.Millisecond
	membersSettle       = time.Second
	membersSettleLong   = 10 * time.Second
	membersSettleMost   = 4 * time.Second
	memberStagger       = 500 * time.Millisecond
	memberRetry         = time.Second
	// shareCheckInterval is how often a node considers whether to propose other members.
	shareCheckInterval = 500 * time.Millisecond
	// askInterval is the number of questions to peers about the shares within the validity of an answer;
	// few are asked before a tenth of it has passed. maxAskedShares is the number of rounds of questions
	// whose answers are accepted.
	askInterval    = 30
	maxAskedShares = 8
	// maxAccountLabels limits the accounts with a label of their own in metrics. limitedFor is how
	// long an account counts as at its limit after a refusal.
	maxAccountLabels = 100
	limitedFor       = 5 * time.Second
	// accountLogRate limits the log lines about accounts without tokens, per second.
	accountLogRate = 2

	// stopNotice is how long the node still accepts requests of peers after it has
	// announced that it stops, so that the announcement reaches them first.
	stopNotice = 300 * time.Millisecond
	// minStopTime is how long clients are served after the stop signal; they stop sending
	// after two failed readiness checks at an interval of one second.
	minStopTime = 2300 * time.Millisecond
	// stopMargin is the time between the end of the shutdown and the kill at the end of
	// the grace period.
	stopMargin = 600 * time.Millisecond
	// stopCheckInterval is how often a stopping node checks whether all requests have
	// completed, and how long it waits for idle connections to close before it exits.
	stopCheckInterval = 50 * time.Millisecond

	// extraRetriesShare is the fraction of the deployment's extra retries that is used.
	// It is below 1 because starting nodes do not know all other nodes yet and take too
	// large a share.
	extraRetriesShare = 0.5
	// heapGrowthPercent is how much the heap may grow between garbage collections. It is
	// half of the runtime's default: a node's memory is scarcer than its processor time.
	heapGrowthPercent = 50
	// memoryShare is the fraction of the memory limit that is set as the soft memory
	// limit of the Go runtime, above which the garbage collector runs more often.
	memoryShare = 0.6
	// heldMemoryShare is the fraction of the memory limit that everything held for clients, the
	// server and other nodes may take together. The heap grows by half of that between garbage
	// collections; the rest is for the program and its own state.
	heldMemoryShare = 0.3
	// bodyMemoryShare is the fraction of the memory limit that the bodies which one component
	// receives at the same time may hold. While a buffer grows, it takes up to half as much
	// again.
	bodyMemoryShare = 0.1
	// transferMemoryShare is the same for the large frames that links have received in part.
	// It is larger because a link that exceeds it is closed.
	transferMemoryShare = 0.2
	// assumedMemoryMB is the memory limit that is assumed if the settings have none.
	assumedMemoryMB = 512
	// limitReportInterval is the least time between two log lines about the learned limit of the
	// local server.
	limitReportInterval = 10 * time.Second
	// assumedDescriptors is the number of file descriptors that is assumed if the settings have
	// none: the usual default of processes.
	assumedDescriptors = 1024
	// clientConnectionShare, linkConnectionShare and endpointConnectionShare are the shares of the
	// descriptors that connections of clients, links that other nodes open, and connections to each
	// of the readiness, heartbeat and metrics addresses may use. The rest remains for the links that
	// this node opens, the server and the store.
	clientConnectionShare   = 0.28
	linkConnectionShare     = 0.35
	endpointConnectionShare = 0.01
	// minConnections is the least number of connections that each of these may have.
	minConnections = 16
	// minLinkAge is how old an inbound connection without a hello must be before it is closed for a
	// new one.
	minLinkAge = 200 * time.Millisecond
	// maxUnlistedShare is the reciprocal of the share of the inbound links up to which nodes without
	// a row in the store are dialed back.
	maxUnlistedShare = 4
	// closeLogRate limits the log lines about connections that were closed, per second.
	closeLogRate = 2
	// endpointHeaderBytes and the times below bound what a connection to the readiness, heartbeat and
	// metrics addresses may send and how long it may take. The header limit is that of client requests
	// by default, the idle time that of client connections.
	endpointHeaderBytes   = 16 << 10
	endpointHeaderTimeout = 5 * time.Second
	endpointReadTimeout   = 5 * time.Second
	endpointWriteTimeout  = 10 * time.Second
	endpointIdleTimeout   = 15 * time.Second
	// usageWindow is the time over which the rate of an account's requests is taken, in seconds.
	// usageSeconds is the number of seconds whose counts are kept: those, the present one, and two
	// for requests that are counted late.
	usageWindow  = 5
	usageSeconds = 8
	// statusRetryAfter is the time in seconds after which a status request is invited to return
	// that found another one running.
	statusRetryAfter = "1"
	// malformedLogRate limits the log lines about malformed input, per second.
	malformedLogRate = 2
	logQueueSize     = 1024
)
