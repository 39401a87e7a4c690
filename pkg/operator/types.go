package operator

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// SectionResponse is a section with its section revision, which is the base of the next
// edit, and the revision of the document that contains it.
type SectionResponse struct {
	Section         config.Section `json:"section"`
	SectionRevision uint64         `json:"section_revision"`
	Revision        uint64         `json:"revision"`
}

// SectionSummary describes one section in a list.
type SectionSummary struct {
	Name            string `json:"name"`
	Team            string `json:"team"`
	SectionRevision uint64 `json:"section_revision"`
	Hash            string `json:"hash"`
}

// Edit is a request to replace or create a section.
type Edit struct {
	// OperationID makes retries of the edit idempotent; the client chooses it.
	OperationID string `json:"operation_id"`
	// BaseRevision is the section revision that the edit is based on; 0 creates the
	// section.
	BaseRevision uint64         `json:"base_revision"`
	Section      config.Section `json:"section"`
}

// EditResponse is the result of an accepted edit.
type EditResponse struct {
	OperationID     string `json:"operation_id"`
	Revision        uint64 `json:"revision"`
	SectionRevision uint64 `json:"section_revision"`
	Hash            string `json:"hash"`
	// AckedBy names the peers that acknowledged the revision before the response, one
	// per failure domain; they store it in addition to the platform.
	AckedBy []string `json:"held_by"`
}

// NodeSummary describes one member as known to the queried node.
type NodeSummary struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Service       string `json:"service,omitempty"`
	Version       string `json:"version,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	// InForce is the last received configuration revision in force at the member.
	InForce uint64 `json:"in_force"`
}

// States of a move.
const (
	MoveRunning       = "running"
	MoveDone          = "done"
	MoveRolledBack    = "taken-back"
	MovePendingRecord = "pending-record" // decided, but the outcome is not recorded yet
)

// MoveSummary is the state of one move.
type MoveSummary struct {
	ID       string    `json:"id"`
	Section  string    `json:"section"`
	Service  string    `json:"service"`
	From     string    `json:"from"` // the old version
	To       string    `json:"to"`   // the new version
	FinishBy time.Time `json:"finish_by"`
	// Share is the fraction of calls sent to the new version, 0 to 1.
	Share  float64 `json:"share"`
	State  string  `json:"state"`
	Reason string  `json:"reason,omitempty"`
}

// MoveRecord is a move with its outcome and the evidence for it.
type MoveRecord struct {
	Summary   MoveSummary     `json:"summary"`
	Decider   string          `json:"decider,omitempty"`
	DecidedAt time.Time       `json:"decided_at,omitzero"`
	Routes    []RouteEvidence `json:"routes,omitempty"`
}

// RouteEvidence counts the calls, failed calls and slow calls of one route at the old and
// the new version.
type RouteEvidence struct {
	Route     string `json:"route"`
	OldCalls  uint64 `json:"old_calls"`
	OldFailed uint64 `json:"old_failed"`
	OldSlow   uint64 `json:"old_slow"`
	NewCalls  uint64 `json:"new_calls"`
	NewFailed uint64 `json:"new_failed"`
	NewSlow   uint64 `json:"new_slow"`
}

// Counter is one labelled counter of the queried node.
type Counter struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels"`
	Value  float64           `json:"value"`
}

// Status is the state of the queried node.
type Status struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision"` // the revision in force; 0 if there is none
}
