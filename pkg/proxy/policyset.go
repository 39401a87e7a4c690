package proxy

import (
	"math/rand/v2"
	"sync"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/retry"
)

// PolicySet holds the retry policy of each service, and with it the retry budget. It is
// safe for concurrent use; mu guards its state.
type PolicySet struct {
	mu        sync.RWMutex
	seeds     *rand.Rand // written under mu
	byService map[string]servicePolicy
}

type servicePolicy struct {
	settings config.Retry
	policy   *retry.Policy
}

// NewPolicySet returns an empty set. It takes ownership of rnd, which seeds the jitter of
// the policies.
func NewPolicySet(rnd *rand.Rand) *PolicySet {
	return &PolicySet{seeds: rnd, byService: make(map[string]servicePolicy)}
}

// Policy returns the retry policy of a service. If the service's settings have changed, it
// creates a new policy with a full budget.
func (p *PolicySet) Policy(s config.Service) RetryPolicy {
	p.mu.RLock()
	found, ok := p.byService[s.Name]
	p.mu.RUnlock()
	if ok && found.settings == s.Retry {
		return found.policy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok = p.byService[s.Name]; ok && found.settings == s.Retry {
		return found.policy
	}
	rnd := rand.New(rand.NewPCG(p.seeds.Uint64(), p.seeds.Uint64()))
	made := servicePolicy{settings: s.Retry, policy: retry.NewPolicy(s.Name, s.Retry, rnd)}
	p.byService[s.Name] = made
	return made.policy
}
