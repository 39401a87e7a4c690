package sidecar

import (
	"maps"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/platform"
)

// applyEvacuations applies the evacuations among the operator's rows. They are derived from all
// rows each time, so that a full read of the table counts like its changes.
func (n *Node) applyEvacuations() {
	defer contain.Recover(contain.Row, func(error) {})
	present := make(map[string]bool)
	rows, version := n.cache.Snapshot(n.deploy.RowCodec.Table())
	for _, row := range rows {
		domain, ok := n.deploy.RowCodec.Evacuation(row)
		if !ok {
			continue
		}
		present[domain] = true
		if !n.evacuated[domain] {
			event.EvacuationStarted.Log("failureDomain", domain, "row", row.Version)
		}
	}
	held := len(n.evacuations.held)
	domains, next := n.evacuations.update(n.sinceBoot(), platform.EraOf(version), present)
	if n.evacuationEnd != nil {
		n.evacuationEnd.Stop()
	}
	if next > 0 {
		n.evacuationEnd = time.AfterFunc(next, n.recheckRows)
	}
	if len(n.evacuations.held) > held {
		event.EvacuationHeld.Log("failureDomains", slices.Sorted(maps.Keys(n.evacuations.held)), "atMost", evacuationHold)
	}
	if maps.Equal(domains, n.evacuated) {
		return
	}
	for domain := range n.evacuated {
		if !domains[domain] {
			event.EvacuationEnded.Log("failureDomain", domain)
		}
	}
	n.noteEvacuations(domains, time.Now())
	n.evacuated = domains
	n.selector.SetEvacuated(domains)
	n.admission.SetEvacuated(time.Now(), domains)
	n.metrics.evacuations.Set(float64(len(domains)))
}

// noteEvacuations records since when each evacuation is known.
func (n *Node) noteEvacuations(domains map[string]bool, now time.Time) {
	known := n.knownEvacuations()
	since := make(map[string]time.Time, len(domains))
	for domain := range domains {
		at, ok := known[domain]
		if !ok {
			at = now
		}
		since[domain] = at
	}
	n.evacuatedSince.Store(&since)
}

// knownEvacuations returns the evacuated failure domains and since when they are known.
func (n *Node) knownEvacuations() map[string]time.Time {
	if known := n.evacuatedSince.Load(); known != nil {
		return *known
	}
	return nil
}
