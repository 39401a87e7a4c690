package sidecar

import (
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/instance"
)

// Guards against a server that is used without end after late heartbeats that it sent before an
// earlier process acknowledged its departure, and against one that stays unused although it goes
// on to send heartbeats.
func TestHeartbeatConfirmation(t *testing.T) {
	const interval = 1500 * time.Millisecond
	started := time.UnixMilli(50_000)
	settled := 3*time.Second - processStartTime
	old := func(seq uint64) instance.Server { return instance.Server{ID: "a", StartedAtMS: 1, Sequence: seq} }
	type beat struct {
		after time.Duration // since the start of the process
		s     instance.Server
	}
	tests := map[string]struct {
		beats     []beat
		confirmed bool
		until     time.Duration // since the start of the process
	}{
		"one":                          {[]beat{{200 * time.Millisecond, old(9)}}, false, 2 * time.Second},
		"one, shortly before settling": {[]beat{{2500 * time.Millisecond, old(9)}}, false, settled},
		"two":                          {[]beat{{200 * time.Millisecond, old(9)}, {1700 * time.Millisecond, old(10)}}, true, 0},
		"the same twice":               {[]beat{{200 * time.Millisecond, old(9)}, {1700 * time.Millisecond, old(9)}}, false, 2 * time.Second},
		"an earlier one":               {[]beat{{200 * time.Millisecond, old(9)}, {1700 * time.Millisecond, old(8)}}, false, 2 * time.Second},
		"two held up together":         {[]beat{{200 * time.Millisecond, old(9)}, {210 * time.Millisecond, old(10)}}, false, 2010 * time.Millisecond},
		"started after the process":    {[]beat{{200 * time.Millisecond, instance.Server{ID: "a", StartedAtMS: 50_100, Sequence: 1}}}, true, 0},
		"started after a confirmed one": {[]beat{
			{200 * time.Millisecond, old(9)}, {1700 * time.Millisecond, old(10)},
			{9 * time.Second, instance.Server{ID: "a", StartedAtMS: 2, Sequence: 1}},
		}, true, 0},
		"another one between": {[]beat{
			{200 * time.Millisecond, old(9)}, {1700 * time.Millisecond, old(10)},
			{2 * time.Second, instance.Server{ID: "b", StartedAtMS: 0, Sequence: 3}}, {3200 * time.Millisecond, old(11)},
		}, true, 0},
	}
	for name, test := range tests {
		c := newHeartbeatConfirmation(started, Settings{Heartbeat: interval, Bounds: Bounds{Settle: 3 * time.Second}})
		var confirmed bool
		var until time.Time
		for _, b := range test.beats {
			confirmed, until = c.note(started.Add(b.after), b.s)
		}
		want := time.Time{}
		if !test.confirmed {
			want = started.Add(test.until)
		}
		if confirmed != test.confirmed || !until.Equal(want) {
			t.Errorf("%s: confirmed %v, until %v; want %v, %v", name, confirmed, until, test.confirmed, want)
		}
	}
}
