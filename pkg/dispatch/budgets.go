package dispatch

import (
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/retry"
)

// RetryBound is the deployment's limit on retries by all nodes together: within any
// window, Ratio of the requests to a service plus Extra.
type RetryBound struct {
	Ratio  float64
	Window time.Duration
	// Extra returns this node's part of the additional retries. It applies to the
	// nested and to the client requests of a service separately.
	Extra func() float64
}

// budgets holds the retry budgets of all services. It is safe for concurrent use; mu
// guards the map.
type budgets struct {
	bound RetryBound

	mu        sync.Mutex
	byService map[budgetKey]*retry.WindowBudget
}

// budgetKey separates nested requests, which get the larger share: if one fails, the
// work of the request that caused it is lost as well.
type budgetKey struct {
	service string
	nested  bool
}

func newBudgets(bound RetryBound) *budgets {
	return &budgets{bound: bound, byService: make(map[budgetKey]*retry.WindowBudget)}
}

func (b *budgets) forService(service string, nested bool) *retry.WindowBudget {
	key := budgetKey{service, nested}
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[key]
	if !ok {
		share := clientRetryShare
		if nested {
			share = nestedRetryShare
		}
		budget = retry.NewWindowBudget(share*b.bound.Ratio, b.bound.Window)
		b.byService[key] = budget
	}
	return budget
}
