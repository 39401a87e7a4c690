package instance

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func heartbeat(id string, startedAtMS int64, seq uint64, s State) Server {
	return Server{ID: id, StartedAtMS: startedAtMS, Sequence: seq, State: s, Service: "orders", Slots: 9}
}

// Guards against late heartbeats that restore an earlier state or incarnation.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	tests := []struct {
		name  string
		beats []Server
		want  Effect
		state State
		id    string
	}{
		{"same sequence", []Server{heartbeat("a", 1, 5, Ready), heartbeat("a", 1, 5, Ready)}, Outdated, Ready, "a"},
		{"earlier sequence", []Server{heartbeat("a", 1, 5, Draining), heartbeat("a", 1, 4, Ready)}, Outdated, Draining, "a"},
		{"ready after draining", []Server{heartbeat("a", 1, 5, Draining), heartbeat("a", 1, 6, Ready)}, Outdated, Draining, "a"},
		{"earlier incarnation", []Server{heartbeat("b", 9, 1, Ready), heartbeat("a", 1, 50, Draining)}, Outdated, Ready, "b"},
		{"new incarnation, same id", []Server{heartbeat("a", 1, 50, Draining), heartbeat("a", 2, 1, Ready)}, Changed, Ready, "a"},
		{"new incarnation", []Server{heartbeat("a", 1, 50, Ready), heartbeat("b", 2, 1, Ready)}, Changed, Ready, "b"},
		{"next", []Server{heartbeat("a", 1, 5, Ready), heartbeat("a", 1, 6, Ready)}, Refreshed, Ready, "a"},
	}
	for _, test := range tests {
		tracker := NewTracker(5 * time.Second)
		var got Effect
		for _, b := range test.beats {
			got = tracker.Observe(start, b)
		}
		s, ok := tracker.Current(start)
		if got != test.want || !ok || s.State != test.state || s.ID != test.id {
			t.Errorf("%s: effect %d, server %+v %v; want effect %d, %s %s", test.name, got, s, ok, test.want, test.id, test.state)
		}
	}
}

// Guards against a server that stays current without heartbeats, and against a clock set
// back after which every new incarnation is rejected.
func TestServerWithoutHeartbeats(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	tracker.Observe(start, heartbeat("a", 9000, 1, Ready))
	later := start.Add(6 * time.Second)
	if _, ok := tracker.Current(later); ok {
		t.Error("a server without heartbeats is still current")
	}
	if got := tracker.Observe(later, heartbeat("b", 8000, 1, Ready)); got != Changed {
		t.Errorf("effect %d of a heartbeat from a server started after the clock was set back, want %d", got, Changed)
	}
}

// Guards against a withdrawal that is applied to a server with another id.
func TestWithdraw(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	tracker.Observe(start, heartbeat("a", 1, 1, Ready))
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

// Guards against a server that becomes ready again by a heartbeat after it has said in a
// response that it leaves.
func TestLeaveOutsideHeartbeats(t *testing.T) {
	now := start
	tracker := NewTracker(time.Minute)
	s := heartbeat("i-1", 5, 1, Ready)
	tracker.Observe(now, s)
	if tracker.Leave(now, heartbeat("i-1", 4, 1, Ready).Incarnation()) {
		t.Error("an earlier incarnation leaves, and the current one is taken for leaving")
	}
	if !tracker.Leave(now, s.Incarnation()) || tracker.Leave(now.Add(time.Second), s.Incarnation()) {
		t.Error("the server leaves once")
	}
	s.Sequence++
	if effect := tracker.Observe(now.Add(time.Second), s); effect != Outdated {
		t.Errorf("a heartbeat of the leaving server as ready has effect %v", effect)
	}
	if current, _ := tracker.Current(now.Add(time.Second)); current.State != Draining || !tracker.LeavingSince().Equal(now) {
		t.Errorf("state %v, leaving since %v", current.State, tracker.LeavingSince())
	}
	next := heartbeat("i-1", 9, 1, Ready)
	if effect := tracker.Observe(now.Add(2*time.Second), next); effect != Changed || !tracker.LeavingSince().IsZero() {
		t.Errorf("a new incarnation has effect %v, leaving since %v", effect, tracker.LeavingSince())
	}
}

// Guards against a leaving server that becomes ready at a restarted node, by a heartbeat that
// was sent before and arrives late.
func TestRestartedNodeKnowsLeavingServer(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	if tracker.Leave(start, heartbeat("a", 1, 0, Ready).Incarnation()) {
		t.Error("an unknown server is taken for the tracked one")
	}
	if got := tracker.Observe(start, heartbeat("a", 1, 4, Ready)); got != Outdated {
		t.Errorf("effect %d of a late heartbeat of the leaving server, want %d", got, Outdated)
	}
	if _, ok := tracker.Current(start); ok {
		t.Error("the leaving server is current")
	}
	if got := tracker.Observe(start, heartbeat("a", 2, 1, Ready)); got != Changed {
		t.Errorf("effect %d of the heartbeat of the next incarnation, want %d", got, Changed)
	}
}

// Guards against a restarted node that acknowledges the withdrawal of a server of which it has
// had no heartbeat, and uses the server again when an earlier heartbeat arrives late.
func TestWithdrawalOfUnknownServer(t *testing.T) {
	withdrawn := start.UnixMilli()
	tracker := NewTracker(5 * time.Second)
	tracker.Observe(start, heartbeat("b", withdrawn-9000, 3, Ready))
	if tracker.Withdraw(start, "a") {
		t.Error("an unknown server is taken for the tracked one")
	}
	tests := []struct {
		name string
		s    Server
		at   time.Time
		want Effect
	}{
		{"late heartbeat", heartbeat("a", withdrawn-3000, 7, Ready), start.Add(time.Second), Outdated},
		{"late heartbeat after the other server has expired", heartbeat("a", withdrawn-3000, 7, Ready), start.Add(time.Minute), Outdated},
		{"same id, started later", heartbeat("a", withdrawn+1, 1, Ready), start.Add(time.Minute), Changed},
		{"other id", heartbeat("c", withdrawn-2000, 1, Ready), start.Add(2 * time.Minute), Changed},
	}
	for _, test := range tests {
		if got := tracker.Observe(test.at, test.s); got != test.want {
			t.Errorf("%s: effect %d, want %d", test.name, got, test.want)
		}
	}
	if tracker.Restore(start.Add(time.Hour), heartbeat("a", withdrawn-3000, 0, Ready), start.Add(2*time.Hour)) {
		t.Error("a peer's report restores the withdrawn server")
	}
}

// Guards against departures that a heartbeat of the next server makes a node forget, and
// against a list of them that grows without bound.
func TestDeparturesOutliveNextServer(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	tracker.Observe(start, heartbeat("a", 1, 5, Draining))
	tracker.Observe(start, heartbeat("b", 2, 1, Ready))
	later := start.Add(time.Minute)
	if got := tracker.Observe(later, heartbeat("a", 1, 4, Ready)); got != Outdated {
		t.Errorf("effect %d of a late heartbeat after the next server, want %d", got, Outdated)
	}
	for i := range 100 {
		tracker.Leave(later, heartbeat("x", int64(i), 0, Ready).Incarnation())
	}
	if n := len(tracker.Departures()); n > maxDepartures {
		t.Errorf("%d departures are kept, want at most %d", n, maxDepartures)
	}
}

// Guards against a recent departure that is forgotten because earlier ones become known after
// it, from a peer that was told of them and not of the last.
func TestEarlierDepartureDropsNoLaterOne(t *testing.T) {
	var earlier Departures
	for i := range 2 * maxDepartures {
		earlier = earlier.With(Departure{Incarnation: heartbeat("a", int64(1+i), 0, Ready).Incarnation()})
	}
	last := heartbeat("a", 1000, 0, Ready)
	tracker := NewTracker(5 * time.Second)
	tracker.AddDepartures(start, Departures{{Incarnation: last.Incarnation()}})
	tracker.AddDepartures(start, earlier)
	if tracker.Restore(start, last, start.Add(time.Second)) {
		t.Error("a server that has left is restored")
	}
	if all := tracker.Departures(); !all.Contain(earlier) || !all.Contain(all.With(earlier...)) {
		t.Error("departures that are too early to be kept count as missing")
	}
}

// Guards against a server that stays current after the time for which an unconfirmed heartbeat
// counts, and against one that a confirmed heartbeat does not make current again.
func TestServerCurrentForLimitedTime(t *testing.T) {
	tracker := NewTracker(5 * time.Second)
	until := start.Add(time.Second)
	tracker.ObserveUntil(start, heartbeat("a", 1, 4, Ready), until)
	if _, ok := tracker.Current(until.Add(-time.Millisecond)); !ok {
		t.Error("the server is not current before the time has passed")
	}
	if _, ok := tracker.Current(until); ok {
		t.Error("the server is current after the time has passed")
	}
	if tracker.DropRestored() {
		t.Error("a server that has sent a heartbeat is taken for a restored one")
	}
	tracker.Observe(until, heartbeat("a", 1, 5, Ready))
	if _, ok := tracker.Current(until.Add(time.Second)); !ok {
		t.Error("the server is not current after a confirmed heartbeat")
	}
}
