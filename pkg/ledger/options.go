package ledger

import "time"

// Options bound a ledger. Zero values select the defaults.
type Options struct {
	MaxEntries     int
	MaxAnswerBytes int
	// EntryGrace is how long an entry outlives the deadline of its call.
	EntryGrace time.Duration
	// FenceTTL is how long a bar is kept.
	FenceTTL time.Duration
	// Now is the clock of Query.
	Now     func() time.Time
	Metrics *Metrics
}

func (o Options) withDefaults() Options {
	if o.MaxEntries <= 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.EntryGrace <= 0 {
		o.EntryGrace = DefaultEntryGrace
	}
	if o.FenceTTL <= 0 {
		o.FenceTTL = DefaultFenceTTL
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return o
}
