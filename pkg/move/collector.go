package move

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Collector counts the responses to the calls that this node routed, for each running
// move. It is safe for concurrent use.
type Collector struct {
	instance    string
	incarnation uint64
	splitter    *TrafficSplitter
	metrics     *Metrics

	mu    sync.Mutex
	moves map[string]*moveCounts // by move id
}

// moveCounts holds this node's counts for one move. It is guarded by Collector.mu.
type moveCounts struct {
	buckets   []Bucket
	changedAt []time.Time // time of the last change of each bucket

	stage            uint8
	countFrom        time.Time // responses are counted from this time on
	sends            int
	lastSent         time.Time
	unsent           int  // calls counted since the last report
	changedSinceFull bool // calls were counted since the last full report
}

// NewCollector returns a collector for a node's process, which instance and incarnation
// identify. metrics may be nil.
func NewCollector(instance string, incarnation uint64, splitter *TrafficSplitter, metrics *Metrics) *Collector {
	return &Collector{
		instance: instance, incarnation: incarnation, splitter: splitter, metrics: metrics,
		moves: make(map[string]*moveCounts),
	}
}

// Observed counts the result of one attempt at an upstream of the version. It
// implements proxy.Observer. An attempt without a response counts as failed; a refusal
// that the upstream did not cause must not be reported. Calls of routes beyond maxRoutes
// in a bucket are not counted.
func (c *Collector) Observed(now time.Time, service, route, version string, failed, slow bool) {
	plan, stage, ok := c.splitter.running(now, service)
	if !ok || version != plan.From && version != plan.To || len(route) > maxNameBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[plan.ID]
	if m == nil {
		m = &moveCounts{stage: stage, countFrom: now.Add(stepSettleTime)}
		c.moves[plan.ID] = m
	}
	if m.stage != stage {
		m.stage, m.countFrom = stage, now.Add(stepSettleTime)
	}
	if now.Before(m.countFrom) {
		return
	}
	bucket := m.bucket(now, plan)
	if bucket == nil {
		return
	}
	pair, known := bucket.Routes[route]
	if !known && len(bucket.Routes) >= maxRoutes {
		c.metrics.countDroppedObservation()
		return
	}
	if version == plan.To {
		pair.New.record(failed, slow)
	} else {
		pair.Old.record(failed, slow)
	}
	bucket.Routes[route] = pair
	m.unsent++
	m.changedSinceFull = true
}

// bucket returns the bucket for now and records the time of its change. It returns nil
// if maxBuckets newer buckets are retained.
func (m *moveCounts) bucket(now time.Time, plan Plan) *Bucket {
	length := max(plan.window()/bucketsPerWindow, minBucket).Truncate(time.Second)
	want := Bucket{Start: now.Truncate(length).Unix(), Stage: m.stage}
	if last := len(m.buckets) - 1; last >= 0 && compareBuckets(m.buckets[last], want) == 0 {
		m.changedAt[last] = now
		return &m.buckets[last]
	}
	i, found := slices.BinarySearchFunc(m.buckets, want, compareBuckets)
	if !found {
		if i == 0 && len(m.buckets) == maxBuckets {
			return nil
		}
		want.Routes = make(map[string]Pair)
		m.buckets = slices.Insert(m.buckets, i, want)
		m.changedAt = slices.Insert(m.changedAt, i, now)
		if len(m.buckets) > maxBuckets {
			m.buckets, m.changedAt = slices.Delete(m.buckets, 0, 1), slices.Delete(m.changedAt, 0, 1)
			i--
		}
	}
	m.changedAt[i] = now
	return &m.buckets[i]
}

// Report returns this node's next report for the move. The second result is false if
// too little has changed since the last one. A report contains the recently changed
// buckets and, periodically, all retained buckets, so that lost messages lose no
// evidence. The time to send depends only on the number of calls and the time since the
// last report, never on results: reports cut at bad responses would bias the test.
func (c *Collector) Report(now time.Time, id string) (Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[id]
	if m == nil {
		return Report{}, false
	}
	waited := now.Sub(m.lastSent) >= maxReportWait
	if m.unsent < callsPerReport && !(waited && m.changedSinceFull) {
		return Report{}, false
	}
	// Without new calls, one more full report replaces any that were lost.
	full := m.sends%fullReportEvery == 0 || m.unsent == 0
	p := Report{Move: id, Instance: c.instance, Incarnation: c.incarnation}
	for i, bucket := range m.buckets {
		if full || now.Sub(m.changedAt[i]) <= resendFor {
			bucket.Routes = maps.Clone(bucket.Routes)
			p.Buckets = append(p.Buckets, bucket)
		}
	}
	m.sends++
	m.unsent, m.lastSent = 0, now
	m.changedSinceFull = m.changedSinceFull && !full
	return p, len(p.Buckets) > 0
}

// FullReport returns all retained buckets of the move. The second result is false if
// there are none. Nodes send what Report returns; only tests call FullReport.
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

// PendingReports returns the reports that are due and drops the counts of moves that no
// longer run. One goroutine calls it every EvidenceInterval.
func (c *Collector) PendingReports(now time.Time) []Report {
	c.mu.Lock()
	ids := slices.Sorted(maps.Keys(c.moves))
	c.mu.Unlock()
	var reports []Report
	for _, id := range ids {
		_, planned := c.splitter.plan(id)
		_, finished := c.splitter.Outcome(id)
		if !planned || finished {
			c.mu.Lock()
			delete(c.moves, id)
			c.mu.Unlock()
			continue
		}
		if p, ok := c.Report(now, id); ok {
			reports = append(reports, p)
		}
	}
	return reports
}
