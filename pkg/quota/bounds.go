package quota

import (
	"time"

	"corianderwood.example/corianderwood/pkg/account"
)

// Bounds limit the requests of an account in any Window, summed over all nodes, to
// (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
	// whole means that no limit is divided into stripes; replays compare both.
	whole bool
}

// Allowed returns the number of requests of the account that may run in one window.
func (b Bounds) Allowed(a account.Account) float64 {
	return b.limit(a)*(1+b.Overage) + b.Slack
}

// depth returns how many tokens of the account may exist at a time, in all buckets and at all
// nodes. Together with what is emitted in a window it stays below Allowed.
func (b Bounds) depth(a account.Account) float64 {
	return a.Burst + usedMargin*(b.Overage*b.limit(a)+b.Slack)
}

func (b Bounds) limit(a account.Account) float64 {
	return a.RatePerSecond*b.Window.Seconds() + a.Burst
}
