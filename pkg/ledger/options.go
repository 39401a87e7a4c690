package ledger

import "time"

// Options bound a ledger. Zero values select the defaults.
type Options struct {
	// MaxEntries bounds the recorded ids; fenced ids have some room on top of it.
	MaxEntries int
	// MaxResponseBytes bounds the total size of the stored responses, in bytes.
	MaxResponseBytes int
	// EntryGrace is how long an entry is kept after the deadline of its call, or after its
	// admission if that is later. The entry of a running call is kept until it ends.
	EntryGrace time.Duration
	// FenceTTL is how long a fenced id is kept.
	FenceTTL time.Duration
	// Now returns the current time for Query; the other methods take it as argument.
	Now     func() time.Time
	Metrics *Metrics
}

func (o Options) withDefaults() Options {
	if o.MaxEntries <= 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
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
