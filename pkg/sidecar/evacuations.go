package sidecar

import "time"

// evacuationHold is how long an evacuation whose row a restored store has lost stays in force. It
// leaves the operator time to notice the restore and to write the row again.
const evacuationHold = 30 * time.Second

// evacuations decides which failure domains are evacuated: those with a row and, for evacuationHold
// after the store was restored, those whose row was lost with that. A row that is deleted in an era
// ends its evacuation at once. It takes the time since the boot as an argument and is not safe for
// concurrent use. Its zero value is ready for use.
type evacuations struct {
	known bool // the rows have been seen
	era   uint64
	rows  map[string]bool
	held  map[string]time.Duration // until when, by failure domain
}

// update takes the failure domains with a row and the era of the store that they were read in. It
// returns those that are evacuated, and the time until the next of them ends if nothing changes; 0
// if none does.
func (e *evacuations) update(now time.Duration, era uint64, rows map[string]bool) (evacuated map[string]bool, next time.Duration) {
	if e.held == nil {
		e.held = make(map[string]time.Duration)
	}
	if e.known && era > e.era {
		for domain := range e.inForce(now) {
			e.held[domain] = now + evacuationHold
		}
	}
	e.known, e.era, e.rows = true, max(e.era, era), rows
	for domain, until := range e.held {
		if rows[domain] || until <= now {
			delete(e.held, domain)
			continue
		}
		if left := until - now; next == 0 || left < next {
			next = left
		}
	}
	return e.inForce(now), next
}

// inForce returns the failure domains that are evacuated.
func (e *evacuations) inForce(now time.Duration) map[string]bool {
	out := make(map[string]bool)
	for domain := range e.rows {
		out[domain] = true
	}
	for domain, until := range e.held {
		if until > now {
			out[domain] = true
		}
	}
	return out
}
