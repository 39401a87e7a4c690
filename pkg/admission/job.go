package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Job is one request in a Queue.
type Job struct {
	// Rank orders the queue; lower ranks run first.
	Rank int
	// Cost is the expected service time.
	Cost time.Duration
	// LatestStart is the latest time at which running the request is still useful.
	LatestStart time.Time
	// Account is the client account of the request; empty without one. Weight is its share
	// relative to other accounts.
	Account string
	Weight  float64

	// releaseUplink releases the reserved uplink bandwidth.
	releaseUplink func()
	sequence      uint64
	turn          float64
	freezes       uint64 // found before the request was received
	started       time.Time
	running       int // jobs that ran when this one started, itself included
	// decision receives "" when the job may run, or the reason for its refusal.
	decision chan reason.Refusal
}

// NewJob returns a job for Queue.Offer.
func NewJob(rank int, cost time.Duration, latest time.Time) *Job {
	return &Job{Rank: rank, Cost: cost, LatestStart: latest, decision: make(chan reason.Refusal, 1), releaseUplink: func() {}}
}
