package boundedio

import (
	"cmp"
	"net"
	"slices"
	"time"
)

// Owner identifies a holder's connection. Its address is asked for in Largest only.
type Owner struct {
	Kind string
	Conn interface{ RemoteAddr() net.Addr }
}

// HolderStatus is what a holder holds.
type HolderStatus struct {
	Kind    string // of the owner
	Address string // of the far end
	Account string // as Holder.SetAccount was told last
	Bytes   int64
	Stalled time.Duration // time since the last progress
}

// Largest returns the holders with an owner that hold most, at most n, the largest first. The
// budget must not be a part of another one.
func (b *Budget) Largest(n int) []HolderStatus {
	b.mu.Lock()
	holders := make([]*Holder, 0, len(b.holders))
	for h := range b.holders {
		holders = append(holders, h)
	}
	b.mu.Unlock()
	type held struct {
		*Holder
		bytes int64
	}
	all := make([]held, 0, len(holders))
	for _, h := range holders {
		if bytes := h.Held(); bytes > 0 && h.owner.Conn != nil {
			all = append(all, held{h, bytes})
		}
	}
	slices.SortFunc(all, func(x, y held) int { return cmp.Compare(y.bytes, x.bytes) })
	out := make([]HolderStatus, 0, n)
	for _, h := range all[:min(n, len(all))] {
		s := HolderStatus{Kind: h.owner.Kind, Account: h.accountName(), Bytes: h.bytes, Stalled: h.Stalled()}
		if address := h.owner.Conn.RemoteAddr(); address != nil {
			s.Address = address.String()
		}
		out = append(out, s)
	}
	return out
}

// SetAccount records the account of the last request on the connection. The string must not change.
func (h *Holder) SetAccount(name *string) { h.account.Store(name) }

func (h *Holder) accountName() string {
	if name := h.account.Load(); name != nil {
		return *name
	}
	return ""
}
