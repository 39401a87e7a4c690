package operator

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// SectionResponse is a section with the revision to name in the next edit.
type SectionResponse struct {
	Section         config.Section `json:"section"`
	SectionRevision uint64         `json:"section_revision"`
	Revision        uint64         `json:"revision"`
}

// SectionSummary is one row of the list of sections.
type SectionSummary struct {
	Name            string `json:"name"`
	Team            string `json:"team"`
	SectionRevision uint64 `json:"section_revision"`
	Hash            string `json:"hash"`
}

// Edit asks for a section to be replaced.
type Edit struct {
	// OperationID makes the edit idempotent; the client chooses it.
	OperationID string `json:"operation_id"`
	// BaseRevision is the section revision that the edit was made from; 0 creates.
	BaseRevision uint64         `json:"base_revision"`
	Section      config.Section `json:"section"`
}

// EditResponse tells what became of an edit.
type EditResponse struct {
	OperationID     string `json:"operation_id"`
	Revision        uint64 `json:"revision"`
	SectionRevision uint64 `json:"section_revision"`
	Hash            string `json:"hash"`
	// HeldBy names the peers that hold the revision besides the platform.
	HeldBy []string `json:"held_by"`
}

// NodeSummary is what the asked node knows about one member.
type NodeSummary struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Service       string `json:"service,omitempty"`
	Version       string `json:"version,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	// InForce is the configuration revision in force at the member, as last heard.
	InForce uint64 `json:"in_force"`
}

// States of a move.
const (
	MoveRunning       = "running"
	MoveDone          = "done"
	MoveRolledBack    = "taken-back"
	MovePendingRecord = "pending-record" // decided, not recorded yet
)

// MoveSummary is the state of one move.
type MoveSummary struct {
	ID       string    `json:"id"`
	Section  string    `json:"section"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	FinishBy time.Time `json:"finish_by"`
	// Share is the part of new calls that the new version gets, 0 to 1.
	Share  float64 `json:"share"`
	State  string  `json:"state"`
	Reason string  `json:"reason,omitempty"`
}

// MoveRecord is the outcome of a move with its evidence.
type MoveRecord struct {
	Summary   MoveSummary     `json:"summary"`
	Decider   string          `json:"decider,omitempty"`
	DecidedAt time.Time       `json:"decided_at,omitzero"`
	Routes    []RouteEvidence `json:"routes,omitempty"`
}

// RouteEvidence counts the calls of one route by version.
type RouteEvidence struct {
	Route     string `json:"route"`
	OldCalls  uint64 `json:"old_calls"`
	OldFailed uint64 `json:"old_failed"`
	OldSlow   uint64 `json:"old_slow"`
	NewCalls  uint64 `json:"new_calls"`
	NewFailed uint64 `json:"new_failed"`
	NewSlow   uint64 `json:"new_slow"`
}

// Counter is one labelled counter of the asked node.
type Counter struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels"`
	Value  float64           `json:"value"`
}

// Status is the state of the asked node.
type Status struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision"`
}
