package gossip

import "time"

// Tunables of dissemination (design section 6).
const (
	// TickInterval is the period of State.Tick and the resolution of its timers.
	TickInterval = 100 * time.Millisecond
	// AnnounceFanout is the number of peers to which a new revision is announced.
	AnnounceFanout = 4
	// DigestInterval is the time between two digest exchanges that a node starts.
	DigestInterval = time.Second
	// PeerInterval is the least time between two unsolicited pushes to one peer;
	// updates of that time are merged.
	PeerInterval = TickInterval
	// FetchTimeout is the wait for an answer to a fetch before another peer is asked.
	FetchTimeout = 500 * time.Millisecond
	// MaxFetchSources bounds the peers remembered as holders of a newer revision.
	MaxFetchSources = 16
	// MaxDeltaBytes bounds the bodies in one answer, so that one answer cannot
	// hold up a link for long; the rest is fetched by hash.
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
	// MaxSyncBytes bounds the member records in one anti-entropy answer.
	MaxSyncBytes = 8 << 10
	// SyncBytesPerSecond and SyncBurstBytes bound the member records that a node
	// sends in anti-entropy answers.
	SyncBytesPerSecond = 2 << 10
	SyncBurstBytes     = 12 << 10
	// SyncBusyShare is the number of differing digests of which one is followed up
	// while this node still has member updates to send.
	SyncBusyShare = 4
	// PushBytesPerSecond and PushBurstBytes bound the unsolicited messages that carry
	// nothing but member updates. The burst covers the restart of a few instances;
	// the updates of larger events ride on probes.
	PushBytesPerSecond = 1 << 10
	PushBurstBytes     = 12 << 10
	// MaxTransfers is the number of full-state transfers that a node serves at once.
	MaxTransfers = 4
	// TransferTimeout frees the place of a transfer whose end was never reported.
	TransferTimeout = 5 * time.Second
	// TransferWait is the wait that a refused joiner is told.
	TransferWait = time.Second
	// JoinTimeout is the wait for the answer to one join request.
	JoinTimeout = 5 * time.Second
	// JoinAttempts is the number of failed attempts per given address after which Join
	// gives up.
	JoinAttempts = 2
	// JoinHints is the number of other peers named in a refusal.
	JoinHints = 8
	// MinRevisionReplicas is the number of members that keep the floor of an instance.
	MinRevisionReplicas = 2
	// MinRevisionRoundTimeout is the wait for the answers of one round of floor messages.
	MinRevisionRoundTimeout = 500 * time.Millisecond
	// MinRevisionRounds is the number of rounds after which a floor operation ends.
	MinRevisionRounds = 3
	// MinRevisionExtras is the number of further members asked when a floor is established.
	MinRevisionExtras = 8
	// MinRevisionRefreshInterval is the time after which the floor is sent again.
	MinRevisionRefreshInterval = 10 * time.Second
	// MinRevisionTTL is the time for which a floor is kept that is not refreshed.
	MinRevisionTTL = 24 * time.Hour
	// MaxMinRevisions bounds the floors that one node keeps; on average it keeps two.
	MaxMinRevisions = 8192
	// HoldTimeout is the wait of Publish for acknowledgements.
	HoldTimeout = time.Second
	// HoldRetryInterval is the time after which Publish asks further peers.
	HoldRetryInterval = 300 * time.Millisecond
	// HoldDomains is the number of other failure domains that must hold a revision.
	HoldDomains = 2
	// MaxHolds bounds the peers that wait for this node to hold a revision.
	MaxHolds = 256
	// MaxMoveStates bounds the move marks that a node keeps.
	MaxMoveStates = 4096
	// MaxEvidenceBytes bounds one evidence payload.
	MaxEvidenceBytes = 256 << 10
	// ProgressTimeout ends the spreading of the revisions in force when nothing new
	// was learned for this time.
	ProgressTimeout = 30 * time.Second
	// HintInterval is the time between two contacts with an address that was given as
	// a hint and belongs to no live member; it doubles from MinHintInterval.
	HintInterval    = 30 * time.Second
	MinHintInterval = time.Second
	// MaxHints bounds the addresses kept as hints.
	MaxHints = 64
	// InboxSize, EvidenceSize and CommandSize bound the channels of an Agent.
	InboxSize    = 512
	EvidenceSize = 256
	CommandSize  = 64
	// WatchInterval is the least time between two lists sent to watchers of members.
	WatchInterval = TickInterval
)
