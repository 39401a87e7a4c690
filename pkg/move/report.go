package move

import "slices"

// Report holds one node's counts for one move. Only that node changes it; copies are
// merged by maximum. A restarted node has a new incarnation and therefore a new report.
type Report struct {
	Move        string `cbor:"1,keyasint"`
	Instance    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Buckets are in ascending order of Start and Stage, at most 16.
	Buckets []Bucket `cbor:"4,keyasint,omitempty"`
}

// Merge returns the least report that includes both copies, truncated to the newest
// buckets. It is commutative, associative and idempotent for copies of one report; a
// report of another move, instance or incarnation is ignored.
func (p Report) Merge(other Report) Report {
	if p.Move != other.Move || p.Instance != other.Instance || p.Incarnation != other.Incarnation {
		return p
	}
	merged := make([]Bucket, 0, len(p.Buckets)+len(other.Buckets))
	a, b := p.Buckets, other.Buckets
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && compareBuckets(a[0], b[0]) < 0:
			merged, a = append(merged, a[0]), a[1:]
		case len(a) == 0 || compareBuckets(a[0], b[0]) > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged, a, b = append(merged, mergeBucket(a[0], b[0])), a[1:], b[1:]
		}
	}
	p.Buckets = newest(merged)
	return p
}

// newest truncates ordered buckets to the newest maxBuckets.
func newest(buckets []Bucket) []Bucket {
	return buckets[max(0, len(buckets)-maxBuckets):]
}

// Check returns an error that matches ErrReport if a report from another node is
// invalid.
func (p Report) Check() error {
	switch {
	case p.Move == "" || p.Instance == "":
		return reportError("has an empty move or instance name")
	case len(p.Move) > maxNameBytes || len(p.Instance) > maxNameBytes:
		return reportError("has a move or instance name that is too long")
	case len(p.Buckets) > maxBuckets:
		return reportError("has more than %d buckets", maxBuckets)
	case !slices.IsSortedFunc(p.Buckets, compareBuckets):
		return reportError("has buckets out of order")
	}
	for i, b := range p.Buckets {
		if i > 0 && compareBuckets(p.Buckets[i-1], b) == 0 {
			return reportError("has a duplicate bucket")
		}
		if b.Stage > fullStage || len(b.Routes) > maxRoutes {
			return reportError("has a bucket with an unknown stage or more than %d routes", maxRoutes)
		}
		for route, pair := range b.Routes {
			if len(route) > maxNameBytes || !pair.Old.valid() || !pair.New.valid() {
				return reportError("has inconsistent counts for route %.40q", route)
			}
		}
	}
	return nil
}
