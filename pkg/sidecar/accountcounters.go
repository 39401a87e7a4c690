package sidecar

import (
	"slices"
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/reason"
)

// accountRefusals are the reasons for which the refusals of an account's requests are counted. The
// last one stands for all others.
var accountRefusals = [...]reason.Refusal{
	reason.AccountLimit, reason.QuotaUnavailable, reason.Memory, reason.Draining, reason.NoUpstream, reason.QueueFull,
	reason.QueueDeadline, reason.ServerLimit, reason.ServerCold, reason.ServerRejected, reason.Evacuated, reason.UplinkFull,
	reason.DownlinkFull, reason.PeerConnect, reason.PeerFailed, reason.UpstreamConnect, reason.Canceled, reason.DeadlineExceeded,
	reason.OutcomeUnknown, reason.RepeatedID, "other",
}

func refusalIndex(why reason.Refusal) int {
	if i := slices.Index(accountRefusals[:], why); i >= 0 {
		return i
	}
	return len(accountRefusals) - 1
}

// accountCounters counts the requests of one account. It is safe for concurrent use.
type accountCounters struct {
	received requestRate
	refused  [len(accountRefusals)]atomic.Uint64
	// lastRefused and lastLimited are the times of the last refusal for any reason and because of the
	// limit, in nanoseconds since the start; 0 if there was none.
	lastRefused, lastLimited atomic.Int64
}

// refusals returns the counts above zero, by reason.
func (c *accountCounters) refusals() map[string]uint64 {
	out := make(map[string]uint64)
	for i := range c.refused {
		if count := c.refused[i].Load(); count > 0 {
			out[string(accountRefusals[i])] = count
		}
	}
	return out
}
