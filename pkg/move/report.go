package move

import "slices"

// Report is one node's evidence on one move. The node owns it; copies merge by
// maximum. A restarted node has a new incarnation and so a new part.
type Report struct {
	Move        string `cbor:"1,keyasint"`
	Instance    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Buckets are in ascending order of Start and Stage, at most 16.
	Buckets []Bucket `cbor:"4,keyasint,omitempty"`
}

// Merge returns the least part that covers both copies, cut to the newest buckets.
// It is commutative, associative and idempotent for copies of one part; a part of
// another move, instance or incarnation is ignored.
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

// newest cuts ordered buckets to the newest maxBuckets.
func newest(buckets []Bucket) []Bucket {
	return buckets[max(0, len(buckets)-maxBuckets):]
}

// Check reports what makes a part from another node unusable.
func (p Report) Check() error {
	switch {
	case p.Move == "" || p.Instance == "":
		return partError("names no move or no instance")
	case len(p.Move) > maxNameBytes || len(p.Instance) > maxNameBytes:
		return partError("name of move or instance is too long")
	case len(p.Buckets) > maxBuckets:
		return partError("has more than %d buckets", maxBuckets)
	case !slices.IsSortedFunc(p.Buckets, compareBuckets):
		return partError("buckets are out of order")
	}
	for i, b := range p.Buckets {
		if i > 0 && compareBuckets(p.Buckets[i-1], b) == 0 {
			return partError("has a bucket twice")
		}
		if b.Stage > fullStage || len(b.Routes) > maxRoutes {
			return partError("bucket has an unknown stage or more than %d routes", maxRoutes)
		}
		for route, pair := range b.Routes {
			if len(route) > maxNameBytes || !pair.Old.valid() || !pair.New.valid() {
				return partError("counts of route %.40q are impossible", route)
			}
		}
	}
	return nil
}
