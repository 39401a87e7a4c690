package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Job is one request in the line.
type Job struct {
	// Rank orders the line; lower ranks go first.
	Rank int
	// Cost is the expected service time.
	Cost time.Duration
	// Latest is when the request must have started to be worth running.
	Latest time.Time

	// release gives back what is reserved of the link.
	release func()
	order   uint64
	started time.Time
	// decided receives "" when the job may run, or the reason why it may not.
	decided chan reason.Refusal
}

// NewJob returns a job for Line.Offer.
func NewJob(rank int, cost time.Duration, latest time.Time) *Job {
	return &Job{Rank: rank, Cost: cost, Latest: latest, decided: make(chan reason.Refusal, 1), release: func() {}}
}
