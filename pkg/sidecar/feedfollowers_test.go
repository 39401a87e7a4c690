package sidecar

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a failure domain without a follower of the store's feeds, and against
// all nodes following them: calls of 58 nodes were the largest price of a quiet day.
func TestFollowDuty(t *testing.T) {
	now := time.Unix(1000, 0)
	node := func(i int) follower {
		f := follower{name: fmt.Sprint("node-", i), failureDomain: "a", linkBytesPerSecond: 1e6, saidAt: now}
		if i < 2 {
			f.linkBytesPerSecond = 1e7
		}
		return f
	}
	duty := func(i int, change func(*follower)) *followDuty {
		d := newFollowDuty(node(i))
		for j := range 10 {
			if other := node(j); j != i {
				change(&other)
				d.heard(other)
			}
		}
		return d
	}
	count := func(change func(*follower), now time.Time) int {
		n := 0
		for i := range 10 {
			if duty(i, change).mine(now) {
				n++
			}
		}
		return n
	}
	if n := count(func(*follower) {}, now); n != followersPerDomain {
		t.Errorf("%d nodes follow, want %d", n, followersPerDomain)
	}
	for i := range 2 {
		if !duty(i, func(*follower) {}).mine(now) {
			t.Errorf("node %d has a fast link and does not follow", i)
		}
	}
	if n := count(func(f *follower) { f.saidAt = time.Time{} }, now); n != 10 {
		t.Errorf("no node says that it follows: %d nodes follow, want 10", n)
	}
	if n := count(func(*follower) {}, now.Add(followerExpiry)); n != 10 {
		t.Errorf("the followers have fallen silent: %d nodes follow, want 10", n)
	}
	if n := count(func(f *follower) { f.failureDomain = "b" }, now); n != 10 {
		t.Errorf("followers of another failure domain count: %d nodes follow, want 10", n)
	}
	d := duty(5, func(*follower) {})
	for j := range 10 {
		d.lost(fmt.Sprint("node-", j))
	}
	if !d.mine(now) || !d.first() {
		t.Error("a node without links does not follow")
	}
}
