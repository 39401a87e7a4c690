package event

// Events of the node. The first digit of the number is the group: 1 process,
// 2 configuration, 3 membership, links, feeds and rejected heartbeats, 4 upstreams and
// requests, 5 moves and rollouts, 6 platform, 7 operators and keys.
var (
	NodeStarting              = Event{101, Info, "node is starting"}
	NodeReady                 = Event{102, Info, "node is ready"}
	NodeNotReady              = Event{103, Warning, "node is not ready"}
	NodeStopping              = Event{104, Info, "node is stopping; running calls finish first"}
	NodeStopped               = Event{105, Info, "node has stopped"}
	ComponentFailed           = Event{106, Error, "a part of the node failed; the node stops"}
	SettingsReloaded          = Event{107, Info, "settings were read again"}
	SettingsRejected          = Event{108, Error, "settings could not be read again; the earlier ones stay in use"}
	LogLinesDropped           = Event{109, Warning, "log lines were dropped because the output did not take them"}
	AcceptFailed              = Event{110, Warning, "connection could not be accepted; accepting is retried"}
	PanicContained            = Event{111, Error, "internal error ended one request, connection or row"}
	SettingsUnknown           = Event{112, Warning, "settings have fields that this version does not know; they are ignored"}
	FreezeFound               = Event{115, Warning, "process was frozen; requests received before are refused, new ones wait for an answer of the store or a peer"}
	FreezeOver                = Event{116, Info, "node is up to date again after a freeze; requests go on"}
	FreezesNotFound           = Event{117, Warning, "kernel does not tell how long threads wait; freezes of this process can't be found"}
	RevisionInForce           = Event{201, Info, "configuration revision is in force"}
	RevisionRejected          = Event{202, Error, "configuration revision failed the node's own check and is not applied"}
	EditAccepted              = Event{203, Info, "edit was accepted"}
	EditRefused               = Event{204, Info, "edit was refused"}
	EditUnknown               = Event{205, Warning, "outcome of an edit is unknown; read the operation record back"}
	MinRevisionKnown          = Event{206, Info, "lowest revision that this instance may serve is known"}
	MinRevisionUnknown        = Event{207, Warning, "lowest revision that this instance may serve is not known yet"}
	MinRevisionNotReplicated  = Event{208, Warning, "revision is in force with fewer replicas of the minimum revision than wanted"}
	StartRowsComplete         = Event{211, Info, "rows that the node has at its start may be put in force"}
	EvacuationStarted         = Event{209, Warning, "failure domain is evacuated; its servers get no requests"}
	EvacuationHeld            = Event{212, Warning, "restored store has lost evacuations; they stay in force for a while"}
	EvacuationEnded           = Event{210, Info, "evacuation of a failure domain has ended"}
	MeshJoined                = Event{301, Info, "node has joined the mesh"}
	MeshJoinFailed            = Event{302, Warning, "no peer answered the request to join; the node tries again"}
	UpstreamAnnounced         = Event{401, Info, "upstream is announced"}
	UpstreamFailing           = Event{413, Warning, "upstream failure rate rose above the limit or returned to normal"}
	UpstreamLimited           = Event{414, Warning, "upstream names a limit of requests, or names it no longer"}
	UpstreamLeaving           = Event{415, Info, "upstream says in a response that it leaves"}
	UpstreamNoticeMalformed   = Event{416, Warning, "notice of the upstream in a response can't be read and is ignored"}
	UpstreamRestored          = Event{412, Info, "upstream state is restored from a peer until the next heartbeat"}
	UpstreamDeparted          = Event{417, Info, "upstreams beside this node have left, as a peer or the store says; late heartbeats of them are ignored"}
	HeartbeatUnconfirmed      = Event{418, Info, "upstream is used after its next heartbeat: it may have left before the node started"}
	UpstreamProvisional       = Event{440, Info, "upstream is used for a limited time until its next heartbeat: it may have left before the node started"}
	UpstreamIDRepeated        = Event{420, Info, "idle connection to the upstream has carried the id of this request before"}
	UpstreamResponseSkipped   = Event{421, Warning, "upstream sent a response that is not the one to the request in progress; it is not passed on"}
	UpstreamResponseWithoutID = Event{422, Warning, "response of the upstream has no request id; the connection is closed after it"}
	ConnectionsNotReused      = Event{423, Warning, "server sent bytes outside of an exchange, or the response to another request; each connection to it serves one request for a while"}
	ConnectionsReused         = Event{424, Info, "connections to the server are reused again"}
	UpstreamInterrupted       = Event{426, Warning, "another response begins within the response of the upstream; it is not passed on"}
	UpstreamCold              = Event{435, Info, "upstream is cold; it gets the requests that a cold one takes"}
	UpstreamMayHaveRestarted  = Event{436, Warning, "upstream may have restarted; it counts as cold until that is known"}
	UpstreamWarm              = Event{437, Info, "upstream is warm; it has no limit as a cold one any more"}
	UpstreamLimitLearned      = Event{438, Warning, "learned limit of the upstream fell below half of its slots"}
	UpstreamLimitEnded        = Event{439, Info, "learned limit of the upstream is at least half of its slots again"}
	ResourcesFreed            = Event{113, Warning, "connection or request was ended to free memory or descriptors"}
	UpstreamResponseInvalid   = Event{114, Warning, "response of the upstream has a status, version or head that HTTP/1 doesn't allow; it is not passed on"}
	UpstreamDraining          = Event{402, Info, "upstream is draining"}
	UpstreamLost              = Event{403, Warning, "upstream stopped renewing its announcement"}
	PeerUp                    = Event{303, Info, "link to a peer is up"}
	PeerDown                  = Event{304, Warning, "link to a peer is down"}
	PeerSilent                = Event{312, Warning, "peer does not respond to a ping; all links are probed"}
	PeerFrameMalformed        = Event{305, Warning, "frame of a peer can't be read and is ignored"}
	PeerRowsApplied           = Event{306, Info, "rows of the store were taken from a peer"}
	PeerDiscovered            = Event{309, Info, "node without a row in the mesh table opened a link; this node opens one in return"}
	ConfigurationStale        = Event{313, Warning, "configuration may be out of date; requests with keys are refused"}
	ConfigurationFresh        = Event{314, Info, "configuration is known to be current; requests with keys are accepted"}
	FeedSubscribed            = Event{310, Info, "node follows the feed of a table"}
	FeedUnsubscribed          = Event{311, Info, "node no longer follows the feed of a table"}
	HeartbeatMalformed        = Event{307, Warning, "heartbeat can't be read and is ignored"}
	HeartbeatOutdated         = Event{308, Info, "heartbeat of an earlier incarnation or state is ignored"}
	AccountCoordinatorChanged = Event{316, Info, "another node coordinates a part of the account limits"}
	AccountSharesKnown        = Event{317, Info, "nodes with a share of the account limits are known"}
	AccountSharesWriteFailed  = Event{318, Warning, "row with the nodes that have a share of the account limits could not be written; it is tried again"}
	AccountSharesRejected     = Event{319, Warning, "row with the nodes that have a share of the account limits can't be read or has changed; it is ignored"}
	AccountEpochKnown         = Event{320, Info, "epoch of the nodes with a share of the account limits is known"}
	AccountEpochProposed      = Event{321, Info, "this node writes the next epoch of the nodes with a share of the account limits, or that it is settled"}
	AccountShareExpired       = Event{322, Warning, "share of the account limits is not used: neither the store nor enough members have shown that it is valid"}
	AccountShareUsed          = Event{323, Info, "share of the account limits has changed"}
	AccountLimited            = Event{432, Info, "client account is at its limit; its further requests are refused"}
	AccountQuotaUnavailable   = Event{433, Warning, "request of a limited account is refused: no coordinator has granted a token"}
	HTTPServer                = Event{404, Warning, "HTTP server reports a problem with a connection"}
	RequestMalformed          = Event{405, Warning, "request can't be read"}
	RequestNoRoute            = Event{406, Info, "request matches no route"}
	RequestAttempt            = Event{407, Info, "request was offered to a server"}
	RequestRefused            = Event{408, Info, "request was refused and has not run"}
	RequestIDRepeated         = Event{419, Info, "caller sent the id of an earlier request again"}
	RequestResponseForeign    = Event{425, Error, "response to another request has arrived; it is not passed on"}
	RequestUnauthenticated    = Event{427, Info, "request has no valid key of a client account and is refused"}
	RequestFailed             = Event{409, Warning, "request ended without a server's response"}
	UpstreamUnreachable       = Event{410, Warning, "upstream refuses connections; it counts as lost until its next heartbeat"}
	MoveStage                 = Event{501, Info, "move has reached a stage"}
	MoveRolledBack            = Event{502, Warning, "move is rolled back"}
	MoveOutcome               = Event{503, Info, "outcome of a move is recorded"}
	MoveOutcomePending        = Event{504, Warning, "outcome of a move is not recorded yet; the platform does not answer"}
	MoveOrdered               = Event{505, Info, "roll-out of a version was ordered"}
	MoveOrderMalformed        = Event{506, Warning, "order of a roll-out can't be read and is ignored"}
	VersionRejected           = Event{507, Warning, "version was judged bad by this node and gets no more requests"}
	PlatformDown              = Event{601, Warning, "platform does not answer"}
	PlatformUp                = Event{602, Info, "platform answers again"}
	MemberRowWriteFailed      = Event{603, Warning, "address hint for joining nodes could not be written"}
	StoreReadRepeated         = Event{605, Warning, "response of the store is overdue; the read is repeated on a new connection"}
	StoreHistoryTruncated     = Event{604, Info, "store has dropped its history; the table is read again"}
	DepartureWriteFailed      = Event{606, Warning, "departure of a local upstream could not be written to the store; the write is repeated"}
	DepartureInPeersOnly      = Event{607, Warning, "departure of a local upstream is not in the store yet; other nodes were told"}
	DepartureRowMalformed     = Event{608, Warning, "row with the departures of local upstreams can't be read and is written anew"}
	StoreResponseRefused      = Event{609, Warning, "response of the store can't be read or has rows of another table; it counts as a failed read"}
	StoreRestored             = Event{610, Warning, "store was restored from an older copy; what this node has written is checked and written again if it is missing"}
	KeysReloaded              = Event{701, Info, "certificate and key were reloaded"}
	KeysReloadFailed          = Event{702, Error, "certificate or key could not be reloaded; the earlier ones stay in use"}
	OperatorRefused           = Event{703, Warning, "operator request was refused"}
)

// Catalogue returns all events.
func Catalogue() []Event {
	return []Event{
		NodeStarting, NodeReady, NodeNotReady, NodeStopping, NodeStopped, ComponentFailed,
		RevisionInForce, RevisionRejected, EditAccepted, EditRefused, EditUnknown,
		MinRevisionKnown, MinRevisionUnknown, MinRevisionNotReplicated, StartRowsComplete, EvacuationStarted, EvacuationHeld, EvacuationEnded,
		MeshJoined, MeshJoinFailed,
		UpstreamAnnounced, UpstreamFailing, UpstreamRestored, UpstreamLimited, UpstreamLeaving, UpstreamNoticeMalformed, UpstreamDeparted, HeartbeatUnconfirmed, UpstreamProvisional, UpstreamIDRepeated, UpstreamResponseSkipped, UpstreamResponseWithoutID, UpstreamInterrupted, UpstreamCold, UpstreamMayHaveRestarted, UpstreamWarm, UpstreamLimitLearned, UpstreamLimitEnded, ConnectionsNotReused, ConnectionsReused, UpstreamDraining, UpstreamLost, HTTPServer,
		SettingsReloaded, SettingsRejected, LogLinesDropped, AcceptFailed, PanicContained, SettingsUnknown, ResourcesFreed, UpstreamResponseInvalid, FreezeFound, FreezeOver, FreezesNotFound,
		PeerUp, PeerDown, PeerSilent, PeerFrameMalformed, PeerRowsApplied, PeerDiscovered, ConfigurationStale, ConfigurationFresh, FeedSubscribed, FeedUnsubscribed, AccountCoordinatorChanged, AccountSharesKnown, AccountSharesWriteFailed, AccountSharesRejected, AccountEpochKnown, AccountEpochProposed, AccountShareExpired, AccountShareUsed, AccountLimited, AccountQuotaUnavailable, HeartbeatMalformed, HeartbeatOutdated,
		RequestMalformed, RequestNoRoute, RequestAttempt, RequestRefused, RequestFailed, RequestIDRepeated, RequestUnauthenticated, RequestResponseForeign, UpstreamUnreachable,
		MoveOrdered, MoveOrderMalformed, VersionRejected, StoreHistoryTruncated, StoreReadRepeated,
		MoveStage, MoveRolledBack, MoveOutcome, MoveOutcomePending,
		PlatformDown, PlatformUp, MemberRowWriteFailed, DepartureWriteFailed, DepartureInPeersOnly, DepartureRowMalformed, StoreResponseRefused, StoreRestored,
		KeysReloaded, KeysReloadFailed, OperatorRefused,
	}
}
