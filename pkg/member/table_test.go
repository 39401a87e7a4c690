package member

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

func newRand() *rand.Rand {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	return rand.New(rand.NewPCG(seed, 1))
}

func testMember(i int) Member {
	return Member{
		Instance: fmt.Sprintf("m%04d", i), FailureDomain: fmt.Sprintf("d%d", i%7), Region: fmt.Sprintf("r%d", i%3),
		ControlAddr: fmt.Sprintf("10.0.0.1:%d", i), Incarnation: 10,
	}
}

func newTable(n int) *Table {
	t := NewTable(testMember(0), newRand())
	for i := 1; i < n; i++ {
		t.Merge(time.Unix(0, 0), testMember(i))
	}
	return t
}

// Guards against a precedence in which an update of an older process or an older update
// wins.
func TestPrecedence(t *testing.T) {
	at := func(incarnation, sequence uint64, s State) Member {
		return Member{Instance: "a", Incarnation: incarnation, Sequence: sequence, State: s}
	}
	ascending := []Member{
		at(1, 0, Alive), at(1, 0, Suspect), at(1, 0, Leaving), at(1, 0, Dead),
		at(1, 1, Alive), at(1, 1, Dead), at(2, 0, Alive), at(2, 0, Suspect),
	}
	for i, a := range ascending {
		for j, b := range ascending {
			if got := Supersedes(a, b); got != (i > j) {
				t.Errorf("Supersedes(%+v, %+v) = %v", a, b, got)
			}
		}
	}
}

// Guards against a suspect that is never declared dead, or before its timeout.
func TestSuspicionEndsInDeath(t *testing.T) {
	table, now := newTable(10), time.Unix(100, 0)
	if _, ok := table.Suspect(now, "m0003", 10); !ok {
		t.Fatal("not suspected")
	}
	timeout := SuspicionTimeout(10)
	if dead := table.Expire(now.Add(timeout - 1)); len(dead) != 0 {
		t.Errorf("declared dead early: %v", dead)
	}
	if dead := table.Expire(now.Add(timeout)); len(dead) != 1 || dead[0].State != Dead {
		t.Errorf("declared dead: %v", dead)
	}
	for n, want := range map[int]time.Duration{1: MinSuspicionTimeout, MaxSuspicionMembers: MaxSuspicionTimeout, 5000: MaxSuspicionTimeout} {
		if got := SuspicionTimeout(n); got != want {
			t.Errorf("suspicion timeout of %d members: %v, want %v", n, got, want)
		}
	}
}

// Guards against a live process that accepts a claim of its death, and against two
// processes under one instance name that keep raising their incarnation above each other.
func TestSelf(t *testing.T) {
	claim := func(change func(*Member)) Member {
		m := testMember(0)
		change(&m)
		return m
	}
	for name, c := range map[string]struct {
		joined bool
		claim  Member
		want   Change
	}{
		"declared dead":          {true, claim(func(m *Member) { m.State = Dead }), Refuted},
		"suspected later":        {true, claim(func(m *Member) { m.State = Suspect; m.Sequence = 5 }), Refuted},
		"echo":                   {true, claim(func(*Member) {}), Ignored},
		"earlier process":        {true, claim(func(m *Member) { m.Incarnation = 9; m.State = Dead }), Ignored},
		"clock went back":        {false, claim(func(m *Member) { m.Incarnation = 99; m.ControlAddr = "x" }), Refuted},
		"later process":          {true, claim(func(m *Member) { m.Incarnation = 99; m.ControlAddr = "x" }), Superseded},
		"dead record, same name": {true, claim(func(m *Member) { m.Incarnation = 99; m.State = Dead }), Refuted},
	} {
		table := newTable(3)
		if c.joined {
			table.SetJoined()
		}
		if got := table.Merge(time.Unix(0, 0), c.claim); got != c.want {
			t.Errorf("%s: change %v, want %v", name, got, c.want)
		}
		if c.want == Refuted && !Supersedes(table.Self(), c.claim) {
			t.Errorf("%s: own record %+v does not supersede the claim", name, table.Self())
		}
	}
}

// Guards against tombstones that are never removed, or that are removed while all of
// their region is unreachable.
func TestTombstones(t *testing.T) {
	table, now := newTable(9), time.Unix(0, 0)
	kill := func(i int) {
		m := testMember(i)
		m.State = Dead
		table.Merge(now, m)
	}
	kill(1)
	kill(4)
	kill(7) // all of region r1
	kill(3) // one of region r0
	table.RemoveTombstones(now.Add(TombstoneTTL + time.Second))
	if _, ok := table.Get("m0003"); ok {
		t.Error("tombstone kept after TombstoneTTL")
	}
	if _, ok := table.Get("m0001"); !ok {
		t.Error("tombstone of a member of an unreachable region removed")
	}
	if m, ok := table.RandomDead(); !ok || m.Region != "r1" {
		t.Errorf("dead member to probe: %+v", m)
	}
	table.RemoveTombstones(now.Add(RegionTombstoneTTL + time.Second))
	if _, ok := table.Get("m0001"); ok {
		t.Error("tombstone of a member of an unreachable region kept after RegionTombstoneTTL")
	}
	dead := testMember(50)
	dead.State = Dead
	if table.Merge(now, dead) != Ignored {
		t.Error("tombstone of an unknown member stored")
	}
}

// Guards against members that no node probes: each must be a successor of about as
// many nodes as any other, and partners must be mutual.
func TestProofPartnersCoverAllMembers(t *testing.T) {
	const n = 300
	probedBy := map[string]int{}
	partners := map[string]map[string]bool{}
	for i := range n {
		table := NewTable(testMember(i), newRand())
		for j := range n {
			table.Merge(time.Unix(0, 0), testMember(j))
		}
		for _, s := range table.Successors() {
			probedBy[s]++
		}
		own := map[string]bool{}
		for _, p := range table.Partners() {
			own[p] = true
		}
		partners[testMember(i).Instance] = own
	}
	for i := range n {
		if by := probedBy[testMember(i).Instance]; by < Rings-2 || by > Rings {
			t.Errorf("member %d is probed by %d members", i, by)
		}
		for p := range partners[testMember(i).Instance] {
			if !partners[p][testMember(i).Instance] {
				t.Errorf("member %d has partner %s, which does not list it as a partner", i, p)
			}
		}
	}
}

// Guards against digests that depend on the order of updates, or that are equal for
// different records.
func TestProofDigest(t *testing.T) {
	rnd := newRand()
	updates := []Member{}
	for range 400 {
		m := testMember(1 + rnd.IntN(40))
		m.Sequence, m.State = rnd.Uint64N(4), State(rnd.IntN(4))
		updates = append(updates, m)
	}
	build := func() *Table {
		table := newTable(41)
		for _, u := range updates {
			table.Merge(time.Unix(0, 0), u)
		}
		return table
	}
	first := build()
	for range 20 {
		rnd.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		second := build()
		if first.Digest() != second.Digest() || len(first.Differing(second.Buckets())) != 0 {
			t.Fatal("digest depends on the order of updates")
		}
	}
	changed := testMember(5)
	changed.Sequence = 100
	second := build()
	second.Merge(time.Unix(0, 0), changed)
	if diff := first.Differing(second.Buckets()); first.Digest() == second.Digest() || len(diff) != 1 {
		t.Errorf("one record differs, but buckets %v are reported", diff)
	}
}

// Guards against replicas of a minimum revision that share a failure domain or are in
// the instance's own.
func TestProofMinRevisionReplicas(t *testing.T) {
	members := newTable(100).Members()
	for i := range 100 {
		m := testMember(i)
		replicas := MinRevisionReplicas(m.Instance, m.FailureDomain, members)
		if len(replicas) != 99 {
			t.Fatalf("%d candidates", len(replicas))
		}
		a, b := replicas[0].FailureDomain, replicas[1].FailureDomain
		if a == b || a == m.FailureDomain || b == m.FailureDomain {
			t.Errorf("replicas of %s (%s) are in %s and %s", m.Instance, m.FailureDomain, a, b)
		}
	}
}

// Guards against a process that resumes from a pause and suspects members whose
// responses it has not read yet.
func TestDetectorAfterPause(t *testing.T) {
	table, now := newTable(10), time.Unix(0, 0)
	d := NewDetector(table, newRand())
	probes, _ := d.Tick(now)
	if len(probes) != 1 {
		t.Fatalf("probes %v", probes)
	}
	if _, changed := d.Tick(now.Add(time.Minute)); len(changed) != 0 {
		t.Errorf("suspected after a pause: %v", changed)
	}
	now = now.Add(time.Minute)
	var suspected int
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		_, changed := d.Tick(now)
		suspected += len(changed)
	}
	if suspected == 0 {
		t.Error("members that do not respond are not suspected")
	}
}

// Guards against brief records that lose the description of a member, invent a
// member, or change the address of a later process.
func TestBriefRecords(t *testing.T) {
	table, now := newTable(5), time.Unix(0, 0)
	table.SetJoined()
	suspect := testMember(2)
	suspect.State = Suspect
	if table.Merge(now, suspect.Brief()) != Applied {
		t.Error("suspicion ignored")
	}
	if m, _ := table.Get("m0002"); m != suspect {
		t.Errorf("record %+v, want %+v", m, suspect)
	}
	unknown := suspect
	unknown.Instance = "m0099"
	if table.Merge(now, unknown.Brief()) != Ignored {
		t.Error("unknown member stored without a description")
	}
	later := suspect
	later.Incarnation++
	if table.Merge(now, later.Brief()) != Ignored {
		t.Error("later process stored without its address")
	}
	later.Instance = "m0000"
	if table.Merge(now, later.Brief()) != Ignored {
		t.Error("suspicion of an unknown later process of this instance refuted")
	}
}
