package move

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Collector counts the answers of the calls that this node routed, per running
// move. It is safe for concurrent use.
type Collector struct {
	instance    string
	incarnation uint64
	shares      *TrafficSplitter
	metrics     *Metrics

	mu    sync.Mutex
	moves map[string]*collected // by move id
}

// collected is the node's own part of one move, owned by Collector.mu.
type collected struct {
	buckets []Bucket
	changed []time.Time // last change of each bucket

	stage       uint8
	comparable  time.Time // observations count from here on
	sends       int
	lastSent    time.Time
	unsent      int  // calls since the last send
	unsentFully bool // changed since the last send of all buckets
}

// NewCollector returns a collector for the node's process. metrics may be nil.
func NewCollector(instance string, incarnation uint64, shares *TrafficSplitter, metrics *Metrics) *Collector {
	return &Collector{
		instance: instance, incarnation: incarnation, shares: shares, metrics: metrics,
		moves: make(map[string]*collected),
	}
}

// Observed counts one answer of a version of a service. It implements
// proxy.Observer. Answers that a version did not give, such as refusals by this
// node, are not to be reported.
func (c *Collector) Observed(now time.Time, service, route, version string, failed, slow bool) {
	plan, stage, ok := c.shares.running(now, service)
	if !ok || version != plan.From && version != plan.To || len(route) > maxNameBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[plan.ID]
	if m == nil {
		m = &collected{stage: stage, comparable: now.Add(settleAfterStep)}
		c.moves[plan.ID] = m
	}
	if m.stage != stage {
		m.stage, m.comparable = stage, now.Add(settleAfterStep)
	}
	if now.Before(m.comparable) {
		return
	}
	bucket := m.bucket(now, plan)
	if bucket == nil {
		return
	}
	pair, known := bucket.Routes[route]
	if !known && len(bucket.Routes) >= maxRoutes {
		c.metrics.dropObservation()
		return
	}
	if version == plan.To {
		pair.New.record(failed, slow)
	} else {
		pair.Old.record(failed, slow)
	}
	bucket.Routes[route] = pair
	m.unsent++
	m.unsentFully = true
}

// bucket returns the bucket of now and marks it changed; nil if it is too old to
// be kept.
func (m *collected) bucket(now time.Time, plan Plan) *Bucket {
	length := max(plan.window()/bucketsPerWindow, minBucket).Truncate(time.Second)
	want := Bucket{Start: now.Truncate(length).Unix(), Stage: m.stage}
	if last := len(m.buckets) - 1; last >= 0 && compareBuckets(m.buckets[last], want) == 0 {
		m.changed[last] = now
		return &m.buckets[last]
	}
	i, found := slices.BinarySearchFunc(m.buckets, want, compareBuckets)
	if !found {
		if i == 0 && len(m.buckets) == maxBuckets {
			return nil
		}
		want.Routes = make(map[string]Pair)
		m.buckets = slices.Insert(m.buckets, i, want)
		m.changed = slices.Insert(m.changed, i, now)
		if len(m.buckets) > maxBuckets {
			m.buckets, m.changed = slices.Delete(m.buckets, 0, 1), slices.Delete(m.changed, 0, 1)
			i--
		}
	}
	m.changed[i] = now
	return &m.buckets[i]
}

// Report returns this node's part to send for the move; the second result is false
// if too little has changed since the last one. It holds the buckets that changed
// lately and, at times, all kept buckets, so that lost messages cost no evidence.
// When to send depends on numbers of calls only, never on their results: parts cut
// at bad answers would bias the test.
func (c *Collector) Report(now time.Time, id string) (Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[id]
	if m == nil {
		return Report{}, false
	}
	waited := now.Sub(m.lastSent) >= maxPartWait
	if m.unsent < callsPerPart && !(waited && m.unsentFully) {
		return Report{}, false
	}
	// Without new calls, one more full part makes up for lost ones.
	full := m.sends%fullPartEvery == 0 || m.unsent == 0
	p := Report{Move: id, Instance: c.instance, Incarnation: c.incarnation}
	for i, bucket := range m.buckets {
		if full || now.Sub(m.changed[i]) <= recentFor {
			bucket.Routes = maps.Clone(bucket.Routes)
			p.Buckets = append(p.Buckets, bucket)
		}
	}
	m.sends++
	m.unsent, m.lastSent = 0, now
	m.unsentFully = m.unsentFully && !full
	return p, len(p.Buckets) > 0
}

// FullReport returns all kept evidence of the move, for a decider that is new to it.
func (c *Collector) FullReport(id string) (Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[id]
	if m == nil {
		return Report{}, false
	}
	p := Report{Move: id, Instance: c.instance, Incarnation: c.incarnation}
	for _, bucket := range m.buckets {
		bucket.Routes = maps.Clone(bucket.Routes)
		p.Buckets = append(p.Buckets, bucket)
	}
	return p, len(p.Buckets) > 0
}

// PendingReports returns the parts to send now and forgets moves that no longer run. One
// goroutine calls it each EvidenceInterval.
func (c *Collector) PendingReports(now time.Time) []Report {
	c.mu.Lock()
	ids := slices.Sorted(maps.Keys(c.moves))
	c.mu.Unlock()
	var parts []Report
	for _, id := range ids {
		_, planned := c.shares.plan(id)
		_, finished := c.shares.Outcome(id)
		if !planned || finished {
			c.mu.Lock()
			delete(c.moves, id)
			c.mu.Unlock()
			continue
		}
		if p, ok := c.Report(now, id); ok {
			parts = append(parts, p)
		}
	}
	return parts
}
