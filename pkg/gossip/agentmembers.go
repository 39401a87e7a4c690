package gossip

import (
	"context"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// leaveGrace is how long Leave waits for the announcement to spread.
const leaveGrace = 500 * time.Millisecond

// Members returns the known members by instance name, including this node and the
// dead. The list must not be changed.
func (a *Agent) Members() []member.Member { return *a.members.Load() }

// WatchMembers returns a channel that receives the list of members now and after changes,
// until ctx ends; the channel is then closed. A list that has not been read is replaced by
// a newer one. The lists must not be changed.
func (a *Agent) WatchMembers(ctx context.Context) <-chan []member.Member {
	ch := make(chan []member.Member, 1)
	a.watchers.mu.Lock()
	a.watchers.m[ch] = struct{}{}
	ch <- a.Members()
	a.watchers.mu.Unlock()
	context.AfterFunc(ctx, func() {
		a.watchers.mu.Lock()
		defer a.watchers.mu.Unlock()
		delete(a.watchers.m, ch)
		close(ch)
	})
	return ch
}

// publishMembers makes a new list for readers if the table changed, at most once per
// WatchInterval because a list of 1,400 members takes 300 KB.
func (a *Agent) publishMembers(now time.Time) {
	version := a.state.table.Version()
	if a.members.Load() != nil && (version == a.membersVersion || now.Sub(a.membersAt) < WatchInterval) {
		return
	}
	a.membersVersion, a.membersAt = version, now
	list := a.state.table.Members()
	a.members.Store(&list)
	a.metrics.live.Set(float64(a.state.table.Live()))
	a.watchers.mu.Lock()
	defer a.watchers.mu.Unlock()
	for ch := range a.watchers.m {
		select {
		case <-ch:
		default:
		}
		ch <- list
	}
}

// Leave announces that this node is leaving, and that its upstream is draining, and
// returns after the announcement has had leaveGrace to spread.
func (a *Agent) Leave(ctx context.Context) error {
	err := a.call(ctx, func(now time.Time) []Packet {
		return a.state.UpdateSelf(now, func(m *member.Member) {
			m.State = member.Leaving
			m.Upstream.Draining = true
		})
	})
	if err != nil {
		return err
	}
	select {
	case <-time.After(leaveGrace):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addrOf returns the control address of a member that is not dead.
func (a *Agent) addrOf(instance string) (string, bool) {
	list := a.Members()
	i, ok := slices.BinarySearchFunc(list, instance, func(m member.Member, name string) int {
		switch {
		case m.Instance < name:
			return -1
		case m.Instance > name:
			return 1
		}
		return 0
	})
	if !ok || list[i].State == member.Dead {
		return "", false
	}
	return list[i].ControlAddr, true
}
