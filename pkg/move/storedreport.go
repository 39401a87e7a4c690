package move

import "slices"

// reportKey identifies the process that a report comes from.
type reportKey struct {
	instance    string
	incarnation uint64
}

// storedReport is a decider's copy of a node's report. Its content equals Report.Merge
// of all received copies, but it is updated in place. It is owned by the decider's
// goroutine.
type storedReport struct {
	buckets []Bucket
}

// merge merges a validated copy and calls added with the counts that are new. A bucket
// that was evicted earlier is older than all stored ones and is ignored, so that no
// call is counted twice.
func (k *storedReport) merge(p Report, added func(stage uint8, route string, pair Pair)) {
	for _, bucket := range p.Buckets {
		i, found := slices.BinarySearchFunc(k.buckets, bucket, compareBuckets)
		if !found {
			if i == 0 && len(k.buckets) == maxBuckets {
				continue
			}
			k.buckets = slices.Insert(k.buckets, i, Bucket{
				Start: bucket.Start, Stage: bucket.Stage, Routes: make(map[string]Pair, len(bucket.Routes)),
			})
			if len(k.buckets) > maxBuckets {
				k.buckets = slices.Delete(k.buckets, 0, 1)
				i--
			}
		}
		routes := k.buckets[i].Routes
		for route, pair := range bucket.Routes {
			seen, known := routes[route]
			if !known && len(routes) >= maxRoutes {
				continue
			}
			merged := seen.merge(pair)
			if merged != seen {
				routes[route] = merged
				added(bucket.Stage, route, merged.sub(seen))
			}
		}
	}
}
