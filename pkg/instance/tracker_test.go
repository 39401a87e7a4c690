package instance

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func beat(id string, born int64, seq uint64, s State) Server {
	return Server{ID: id, StartedAtMS: born, Sequence: seq, State: s, Service: "orders", Slots: 9}
}

// Guards against late heartbeats that bring back an earlier state or incarnation.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	tests := []struct {
		name  string
		beats []Server
		want  Effect
		state State
		id    string
	}{
		{"same sequence", []Server{beat("a", 1, 5, Ready), beat("a", 1, 5, Ready)}, Outdated, Ready, "a"},
		{"earlier sequence", []Server{beat("a", 1, 5, Draining), beat("a", 1, 4, Ready)}, Outdated, Draining, "a"},
		{"ready after draining", []Server{beat("a", 1, 5, Draining), beat("a", 1, 6, Ready)}, Outdated, Draining, "a"},
		{"earlier incarnation", []Server{beat("b", 9, 1, Ready), beat("a", 1, 50, Draining)}, Outdated, Ready, "b"},
		{"new incarnation, same id", []Server{beat("a", 1, 50, Draining), beat("a", 2, 1, Ready)}, Changed, Ready, "a"},
		{"new incarnation", []Server{beat("a", 1, 50, Ready), beat("b", 2, 1, Ready)}, Changed, Ready, "b"},
		{"next", []Server{beat("a", 1, 5, Ready), beat("a", 1, 6, Ready)}, Refreshed, Ready, "a"},
	}
	for _, test := range tests {
		tracker := NewTracker(5 * time.Second)
		var got Effect
		for _, b := range test.beats {
			got = tracker.Observe(start, b)
		}
		s, ok := tracker.Current(start)
		if got != test.want || !ok || s.State != test.state || s.ID != test.id {
			t.Errorf("%s: verdict %d, server %+v %v; want verdict %d, %s %s", test.name, got, s, ok, test.want, test.id, test.state)
		}
	}
}

// Guards against a silent server that keeps its place, and against a clock step
// that locks out every later incarnation.
func TestSilentServer(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	tracker.Observe(start, beat("a", 9000, 1, Ready))
	later := start.Add(6 * time.Second)
	if _, ok := tracker.Current(later); ok {
		t.Error("a server without heartbeats is still current")
	}
	if got := tracker.Observe(later, beat("b", 8000, 1, Ready)); got != Changed {
		t.Errorf("verdict %d on a server born before a clock step, want %d", got, Changed)
	}
}

// Guards against a withdrawal that takes out the wrong incarnation.
func TestWithdraw(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	tracker.Observe(start, beat("a", 1, 1, Ready))
	if tracker.Withdraw(start, "other") {
		t.Error("the withdrawal of another server was accepted")
	}
	if !tracker.Withdraw(start.Add(time.Second), "a") {
		t.Error("the withdrawal was not accepted")
	}
	if got := tracker.LeavingSince(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("leaving since %v", got)
	}
}
