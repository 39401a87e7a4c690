package move

import "slices"

// partKey names the owner of a part.
type partKey struct {
	instance    string
	incarnation uint64
}

// keptPart is a decider's copy of a part. It holds what Part.Merge of all received
// copies would hold, changed in place. The owner is the decider's goroutine.
type keptPart struct {
	buckets []Bucket
}

// merge takes in a checked copy and calls added with the counts that are new. A
// bucket that was cut earlier is older than all kept ones and stays out, so that
// nothing is counted twice.
func (k *keptPart) merge(p Report, added func(stage uint8, route string, pair Pair)) {
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
