package gossip

import (
	"cmp"
	"math/bits"
	"slices"

	"corianderwood.example/corianderwood/pkg/member"
)

// update is a member record that still has to be sent.
type update struct {
	m    member.Member
	sent int
}

// updateQueue holds the newest update per member. Each update is sent RetransmitFactor
// times the bit length of the number of members in total, which is about log2 of it; those
// sent least often go first.
type updateQueue map[string]*update

func (q updateQueue) add(m member.Member) { q[m.Instance] = &update{m: m} }

// next returns updates of at most limit bytes and counts them as sent.
func (q updateQueue) next(limit, members int) []member.Member {
	if len(q) == 0 || limit <= 0 {
		return nil
	}
	list := make([]*update, 0, len(q))
	for _, u := range q {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *update) int {
		if a.sent != b.sent {
			return cmp.Compare(a.sent, b.sent)
		}
		return cmp.Compare(a.m.Instance, b.m.Instance)
	})
	most := RetransmitFactor * bits.Len(uint(members))
	var out []member.Member
	for _, u := range list {
		m := u.m.Brief()
		if limit -= recordSize(&m); limit < 0 {
			break
		}
		out = append(out, m)
		if u.sent++; u.sent >= most {
			delete(q, u.m.Instance)
		}
	}
	return out
}

// recordSize estimates the encoded size of a member record in bytes from above. Only
// records with very long names or very large numbers exceed it.
func recordSize(m *member.Member) int {
	return 44 + len(m.Instance) + len(m.FailureDomain) + len(m.Region) + len(m.ControlAddr) +
		len(m.CallAddr) + len(m.Upstream.Service) + len(m.Upstream.Version)
}

func updatesSize(list []member.Member) int {
	n := 0
	for i := range list {
		n += recordSize(&list[i])
	}
	return n
}
