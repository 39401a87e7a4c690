package freshness

import (
	"math/rand/v2"
	"time"
)

const (
	// lowShare is the share of the lease below which peers are asked, and lowestShare the one by
	// which each node has asked once; the spread keeps the nodes that know the same from asking at
	// the same moment. A follower's read is up to 3.3 s old before the next one is answered, so
	// that with a lease of 4.8 s earlier questions would often bring nothing newer.
	lowShare    = 1.0 / 3
	lowestShare = 1.0 / 4
	// urgentInterval is the mean time between two questions while little of the lease is left, and
	// urgentJitter the share by which it varies. Several may be lost before the lease ends.
	urgentInterval = 300 * time.Millisecond
	urgentJitter   = 1.0 / 3
	// askAll is the number of questions in vain after which peers of all kinds are asked.
	askAll = 2
)

// Low reports whether so little of the lease is left that peers have to be asked.
func Low(lease, remaining time.Duration) bool { return remaining <= share(lease, lowShare) }

// AskAfter returns the time until the next question to peers if the copy stays fresh for the
// remaining time. chance, from 0 to 1, spreads the nodes.
func AskAfter(lease, remaining time.Duration, chance float64) time.Duration {
	urgent := share(urgentInterval, 1-urgentJitter+2*urgentJitter*chance)
	return max(urgent, remaining-share(lease, lowestShare+(lowShare-lowestShare)*chance))
}

func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// Vain counts the questions to peers that brought nothing newer. Its zero value is ready for use.
type Vain struct {
	count int
	until time.Duration
}

// Next returns the count for the next question. until is the time until which the copy is fresh,
// remaining the time that is left of it.
func (v *Vain) Next(remaining, until time.Duration) int {
	v.count++
	if until > v.until {
		v.count, v.until = 0, until
	}
	if remaining == 0 {
		v.count = max(v.count, askAll)
	}
	return v.count
}

// Peer is a node that can be asked.
type Peer struct {
	Name string
	// Follower means that the node reads the table from the store, SameDomain that it is in the
	// failure domain of the asking node.
	Follower, SameDomain bool
}

// Choose returns the peers to ask. vain is the number of questions since the last one whose
// answer helped. Followers of the own failure domain are asked first; traffic between domains
// is billed. After a question in vain a follower of another domain is asked too, and after two
// any peer: one that is not a follower may have asked one.
func Choose(peers []Peer, vain int, rnd *rand.Rand) []Peer {
	var out []Peer
	for step, eligible := range []func(Peer) bool{
		func(p Peer) bool { return p.Follower && p.SameDomain },
		func(p Peer) bool { return p.Follower && !p.SameDomain },
		func(p Peer) bool { return !p.Follower },
	} {
		if step > vain && len(out) > 0 {
			break
		}
		if p, ok := pick(peers, eligible, rnd); ok {
			out = append(out, p)
		}
	}
	return out
}

// pick returns a random one of the eligible peers.
func pick(peers []Peer, eligible func(Peer) bool, rnd *rand.Rand) (Peer, bool) {
	var chosen Peer
	n := 0
	for _, p := range peers {
		if eligible(p) {
			n++
			if rnd.IntN(n) == 0 {
				chosen = p
			}
		}
	}
	return chosen, n > 0
}
