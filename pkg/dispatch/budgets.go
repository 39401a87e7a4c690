package dispatch

import (
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/retry"
)

// RetryBound is the deployment's bound on repeats, for all nodes together: within any
// window, Ratio of the requests of a service and Extra ones.
type RetryBound struct {
	Ratio  float64
	Window time.Duration
	// Extra returns this node's part of the extra repeats of each service.
	Extra func() float64
}

// budgets holds the retry budgets of each service. mu guards the map.
type budgets struct {
	bound RetryBound

	mu        sync.Mutex
	byService map[budgetKey]*retry.WindowBudget
}

// budgetKey separates nested requests, which get the larger share: when one fails, the
// work of the request that made it is lost too.
type budgetKey struct {
	service string
	nested  bool
}

func newBudgets(bound RetryBound) *budgets {
	return &budgets{bound: bound, byService: make(map[budgetKey]*retry.WindowBudget)}
}

func (b *budgets) of(service string, nested bool) *retry.WindowBudget {
	key := budgetKey{service, nested}
	b.mu.Lock()
	defer b.mu.Unlock()
	share, ok := b.byService[key]
	if !ok {
		part := clientRepeats
		if nested {
			part = nestedRepeats
		}
		share = retry.NewWindowBudget(part*b.bound.Ratio, b.bound.Window)
		b.byService[key] = share
	}
	return share
}
