package gossip

import "time"

// Parameters of dissemination (design section 6).
const (
	// TickInterval is the period of State.Tick and the resolution of its timers.
	TickInterval = 100 * time.Millisecond
	// AnnounceFanout is the number of peers to which a new revision is announced.
	AnnounceFanout = 4
	// DigestInterval is the time between two digest exchanges started by one node.
	DigestInterval = time.Second
	// PeerInterval is the minimum time between two unsolicited messages to one peer; what
	// becomes due in the meantime is merged into one message.
	PeerInterval = TickInterval
	// FetchTimeout is how long a node waits for the response to a fetch before it asks
	// another peer.
	FetchTimeout = 500 * time.Millisecond
	// MaxFetchSources bounds the peers recorded as holders of a newer revision.
	MaxFetchSources = 16
	// MaxDeltaBytes bounds the bodies in one response, so that one response does not
	// block a connection for long; the rest is fetched by hash.
	MaxDeltaBytes = 256 << 10
	// MaxFetchHashes bounds the hashes in one fetch.
	MaxFetchHashes = 256
	// MaxBodyBytes bounds one section body.
	MaxBodyBytes = 1 << 20
	// RetransmitFactor times log2(members) is the number of times that one member
	// update is sent.
	RetransmitFactor = 3
	// MaxPiggybackBytes bounds the member updates in one message. A node sends and
	// receives about eight messages a second, which must stay within 7 KB/s.
	MaxPiggybackBytes = 600
	// MaxSyncBytes bounds the member records in one anti-entropy reply.
	MaxSyncBytes = 8 << 10
	// SyncBytesPerSecond and SyncBurstBytes bound the member records that a node
	// sends in anti-entropy replies.
	SyncBytesPerSecond = 2 << 10
	SyncBurstBytes     = 12 << 10
	// SyncBusyShare is the number of differing digests of which one leads to a comparison
	// of buckets while this node still has member updates to send.
	SyncBusyShare = 4
	// PushBytesPerSecond and PushBurstBytes bound the unsolicited messages that carry
	// nothing but member updates. The burst covers the restart of a few instances; the
	// updates of larger events are piggybacked on probes.
	PushBytesPerSecond = 1 << 10
	PushBurstBytes     = 12 << 10
	// MaxTransfers bounds the full-state transfers that a node serves at once.
	MaxTransfers = 4
	// TransferTimeout is the time after which a transfer whose end was not reported no
	// longer counts against MaxTransfers.
	TransferTimeout = 5 * time.Second
	// TransferWait is the mean time after which a refused joiner should try again.
	TransferWait = time.Second
	// JoinTimeout bounds the wait for the response to one join request.
	JoinTimeout = 5 * time.Second
	// JoinAttempts is the number of failed attempts per given address after which Join
	// gives up.
	JoinAttempts = 2
	// JoinHints is the number of other peers named in a refusal.
	JoinHints = 8
	// MinRevisionReplicas is the number of members that store the minimum revision of an
	// instance.
	MinRevisionReplicas = 2
	// MinRevisionRoundTimeout is how long one round of minimum revision messages waits
	// for responses.
	MinRevisionRoundTimeout = 500 * time.Millisecond
	// MinRevisionRounds is the number of rounds after which a minimum revision operation
	// ends.
	MinRevisionRounds = 3
	// MinRevisionExtras is the number of members asked besides the replicas when a
	// minimum revision is established.
	MinRevisionExtras = 8
	// MinRevisionRefreshInterval is the time after which a node sends its minimum
	// revision to its replicas again.
	MinRevisionRefreshInterval = 10 * time.Second
	// MinRevisionTTL is how long a node stores a minimum revision that is not refreshed.
	MinRevisionTTL = 24 * time.Hour
	// MaxMinRevisions bounds the minimum revisions that one node stores for others; on
	// average it stores two.
	MaxMinRevisions = 8192
	// PublishTimeout bounds the wait of Publish for acknowledgements.
	PublishTimeout = time.Second
	// PublishRetryInterval is the time after which Publish asks further peers.
	PublishRetryInterval = 300 * time.Millisecond
	// PublishDomains is the number of other failure domains in which a member should
	// acknowledge a published revision.
	PublishDomains = 2
	// MaxPendingAcks bounds the peers that wait for this node to acknowledge a revision.
	MaxPendingAcks = 256
	// MaxMoveStates bounds the move states that a node stores.
	MaxMoveStates = 4096
	// MaxEvidenceBytes bounds one evidence payload.
	MaxEvidenceBytes = 256 << 10
	// ProgressTimeout is the time without new information after which a node stops
	// including the revisions in force of the members in its messages.
	ProgressTimeout = 30 * time.Second
	// HintInterval is the longest mean time between two messages to hint addresses that
	// belong to no live member; the time starts at MinHintInterval and doubles.
	HintInterval    = 30 * time.Second
	MinHintInterval = time.Second
	// MaxHints bounds the stored hint addresses.
	MaxHints = 64
	// InboxSize, EvidenceSize and CommandSize bound the channels of an Agent.
	InboxSize    = 512
	EvidenceSize = 256
	CommandSize  = 64
	// WatchInterval is the minimum time between two lists sent to watchers of members.
	WatchInterval = TickInterval
)
