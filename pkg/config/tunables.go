package config

// Defaults of a service, used for fields that a section omits.
const (
	DefaultSlots       = 9   // design capacity: concurrent calls of one upstream
	DefaultConnections = 130 // design capacity: open connections for one upstream
	// DefaultQueue is twice the number of slots: with all slots busy, a full queue adds
	// about two mean service times of waiting.
	DefaultQueue       = 18
	DefaultRetryRatio  = 0.1
	DefaultRetryCap    = 100  // tokens
	DefaultRetryBaseMS = 200  // milliseconds
	DefaultRetryMaxMS  = 2000 // milliseconds
	DefaultTimeoutMS   = 3000 // milliseconds
)

// Fractions of timeout_ms that are the defaults of attempt_timeout_ms and slow_ms: two
// attempts fit into one call, and a response that takes more than a quarter of the
// call's timeout counts as slow.
const (
	attemptTimeoutDivisor = 2
	slowDivisor           = 4
)

// Limits that Check enforces.
const (
	MaxSectionBytes   = 256 << 10 // canonical body of one section, in bytes
	MaxSections       = 1024
	MaxSlots          = 1024
	MaxConnections    = 65535
	MaxQueue          = 65536
	MaxRetryCap       = 100_000 // tokens
	MaxRetryWaitMS    = 60_000  // milliseconds
	MaxTimeoutMS      = 300_000 // milliseconds; ledger entries must be kept longer than the longest deadline
	MaxNameBytes      = 63
	MaxVersionBytes   = 128
	MaxPathBytes      = 512
	MaxHostBytes      = 253
	maxJSONDepth      = 16
	maxSectionEntries = 4096 // services or routes of one section
)

// AdminTeam is the team that may create sections and assign them to teams.
const AdminTeam = "admin"
