package move

import (
	"cmp"
	"maps"
)

// Bucket holds the counts of one node for one time slice and one stage. Within a bucket
// every call was routed to the new version with the same probability, so both versions
// were exposed to the same conditions.
type Bucket struct {
	// Start is the start of the slice in Unix seconds, on the node's clock.
	Start int64 `cbor:"1,keyasint"`
	Stage uint8 `cbor:"2,keyasint,omitempty"`
	// Routes holds the counts by route name.
	Routes map[string]Pair `cbor:"3,keyasint,omitempty"`
}

// Pair holds the counts of the old and the new version.
type Pair struct {
	Old Counts `cbor:"1,keyasint"`
	New Counts `cbor:"2,keyasint"`
}

func (p Pair) merge(o Pair) Pair { return Pair{p.Old.merge(o.Old), p.New.merge(o.New)} }
func (p Pair) add(o Pair) Pair   { return Pair{p.Old.add(o.Old), p.New.add(o.New)} }
func (p Pair) sub(o Pair) Pair   { return Pair{p.Old.sub(o.Old), p.New.sub(o.New)} }

// compareBuckets orders buckets by slice and stage.
func compareBuckets(a, b Bucket) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Stage, b.Stage))
}

// mergeBucket merges two buckets of the same slice and stage.
func mergeBucket(a, b Bucket) Bucket {
	merged := Bucket{Start: a.Start, Stage: a.Stage, Routes: maps.Clone(a.Routes)}
	if merged.Routes == nil {
		merged.Routes = make(map[string]Pair, len(b.Routes))
	}
	for route, pair := range b.Routes {
		merged.Routes[route] = merged.Routes[route].merge(pair)
	}
	return merged
}
