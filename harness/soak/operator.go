package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

const (
	// copyInterval is the time between two copies of the store, maxCopies how many are kept.
	copyInterval = time.Second
	maxCopies    = 4
	// otherWrites is the number of transactions of other users that a restore loses. The versions of
	// what the operator writes after the restore are then below those of what was lost.
	otherWrites = 1000
	// applyTime is the time in which most nodes apply a configuration, restartTime that in which most
	// read it after a restart.
	applyTime   = 500 * time.Millisecond
	restartTime = 3 * time.Second
)

// storeCopy is a copy of the store with what the operator had written.
type storeCopy struct {
	rows      storetest.Copy
	version   int
	evacuated []string
}

// operator writes configurations and evacuations. Soak.mu guards it.
type operator struct {
	version int // version of the newest configuration
	stored  int // version of the configuration in the store, which a restore may set back
	// evacuated counts the orders in force, by failure domain.
	evacuated map[string]int
	// copies holds copies of the store, taken every copyInterval, the latest last.
	copies []storeCopy
	herded time.Time // when all nodes were last killed
}

// copyStore takes a copy of the store.
func (s *Soak) copyStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.operator
	o.copies = append(o.copies, storeCopy{rows: s.store.Copy(), version: o.stored, evacuated: slices.Collect(maps.Keys(o.evacuated))})
	o.copies = o.copies[max(0, len(o.copies)-maxCopies):]
}

// restoreStore publishes a configuration, restores the store from a random copy that lacks it, and
// returns the age of the copy in copies. What was written since the copy is lost; later copies would
// bring it back and are dropped.
func (s *Soak) restoreStore() int {
	s.mu.Lock()
	copies := slices.Clone(s.operator.copies)
	s.mu.Unlock()
	at := s.rnd.IntN(maxCopies)
	if len(copies) == 0 {
		return 0
	}
	at = min(at, len(copies)-1)
	for range otherWrites {
		s.store.Put("other", "row", nil)
	}
	s.publishConfiguration()
	time.Sleep(applyTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, o := copies[at], &s.operator
	s.store.Restore(c.rows)
	o.copies, o.stored = copies[:at+1], c.version
	s.checker.OnRestored(keysOf(c.version), time.Since(o.herded) < restartTime)
	for domain := range o.evacuated {
		if !slices.Contains(c.evacuated, domain) {
			s.checker.OnEvacuationEnd(domain)
		}
	}
	return len(copies) - at
}

// rewrite writes what a restore has lost again, as the operator does: first the newest
// configuration and the evacuations, then the next configuration.
func (s *Soak) rewrite() {
	s.mu.Lock()
	s.putConfiguration()
	for _, domain := range s.domains() {
		_, stored := s.store.Value("op", "evacuate/"+domain)
		switch ordered := s.operator.evacuated[domain] > 0; {
		case ordered && !stored:
			s.putEvacuation(domain)
		case !ordered && stored:
			s.store.Delete("op", "evacuate/"+domain)
		}
	}
	s.mu.Unlock()
	s.publishConfiguration()
}

// herd kills all nodes.
func (s *Soak) herd() {
	for _, i := range s.instances {
		i.Signal(killSignal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operator.herded = time.Now()
	if s.operator.stored != s.operator.version {
		s.checker.OnRestored(keysOf(s.operator.stored), true)
	}
}

// publishConfiguration publishes the next version of the configuration. Besides the
// routes that all versions have, each version has a route that no other has, so that
// probe can find out which version is in force, and a key that no earlier version has.
func (s *Soak) publishConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operator.version++
	s.putConfiguration()
}

// putConfiguration writes the newest version. The caller holds mu.
func (s *Soak) putConfiguration() {
	version := s.operator.version
	rule := func(name, kind, prefix, service string, public bool) storetest.Rule {
		return storetest.Rule{Name: name, Kind: kind, Prefix: prefix, Service: service, Public: public,
			Target: 400 * time.Millisecond, Timeout: clientDeadline, Attempts: 3}
	}
	service := func(name string) storetest.Service {
		return storetest.Service{Name: name, HealthPath: healthPath, Cold: coldTime, ColdPerSecond: coldPerS}
	}
	s.checker.OnPublishing(keysOf(version))
	s.store.Publish(storetest.Configuration{Version: version, Host: host, Accounts: accountsOf(version), Rules: []storetest.Rule{
		rule("read", "safe", "/read/", "alpha", false), rule("order", "unsafe", "/order/", "beta", false),
		rule("open", "safe", "/open/", "alpha", true), rule("own", "safe", fmt.Sprintf("/v%d/", version), "alpha", true),
	}, Services: []storetest.Service{service("alpha"), service("beta")}})
	s.operator.stored = version
	s.checker.OnPublished(keysOf(version), time.Now())
}

func (s *Soak) newestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operator.version
}

// evacuate orders the evacuation of failure domains and returns a function that ends it.
func (s *Soak) evacuate(domains []string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, domain := range domains {
		s.operator.evacuated[domain]++
		if s.operator.evacuated[domain] == 1 {
			s.putEvacuation(domain)
		}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, domain := range domains {
			if s.operator.evacuated[domain]--; s.operator.evacuated[domain] == 0 {
				delete(s.operator.evacuated, domain)
				s.checker.OnEvacuationEnd(domain)
				s.store.Delete("op", "evacuate/"+domain)
			}
		}
	}
}

// putEvacuation writes the row of an evacuation. The caller holds mu.
func (s *Soak) putEvacuation(domain string) {
	s.store.Put("op", "evacuate/"+domain, []byte(`{}`))
	s.checker.OnEvacuated(domain, time.Now())
}

// domains returns the failure domains.
func (s *Soak) domains() []string {
	var out []string
	for _, i := range s.instances {
		if !slices.Contains(out, i.domain) {
			out = append(out, i.domain)
		}
	}
	return out
}
