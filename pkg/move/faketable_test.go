package move

import (
	"context"
	"math/rand/v2"

	"corianderwood.example/corianderwood/pkg/platform"
)

// fakeTable is a platform table that can be unavailable, lose responses and apply
// writes late. It counts the writes of each row.
type fakeTable struct {
	rnd  *rand.Rand
	down bool
	// lossRate is the probability that the response to a write is lost; the write is
	// then applied at once, later or never.
	lossRate    float64
	rows        map[string][]byte
	delayed     [][]platform.Write
	writeCounts map[string]int // writes by key
}

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{rnd: rand.New(rand.NewPCG(seed, 1)), rows: map[string][]byte{}, writeCounts: map[string]int{}}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, bool, error) {
	if f.down {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	value, ok := f.rows[key]
	return platform.Row{Key: key, Revision: 1, Value: value}, ok, nil
}

func (f *fakeTable) Query(context.Context, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (f *fakeTable) Transact(_ context.Context, writes []platform.Write) error {
	if f.down {
		return platform.ErrUnavailable
	}
	if f.rnd.Float64() < f.lossRate {
		switch f.rnd.IntN(3) {
		case 0:
			_ = f.apply(writes)
		case 1:
			f.delayed = append(f.delayed, writes)
		}
		return platform.ErrUnknownOutcome
	}
	return f.apply(writes)
}

// applyDelayed applies the writes that were delayed when their responses were lost.
func (f *fakeTable) applyDelayed() {
	for _, writes := range f.delayed {
		_ = f.apply(writes)
	}
	f.delayed = nil
}

func (f *fakeTable) apply(writes []platform.Write) error {
	for _, w := range writes {
		if _, ok := f.rows[w.Key]; ok && w.Condition == platform.IfAbsent {
			return platform.ErrConflict
		}
	}
	for _, w := range writes {
		f.rows[w.Key] = w.Value
		f.writeCounts[w.Key]++
	}
	return nil
}
