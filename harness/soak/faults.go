package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

const killSignal = syscall.SIGKILL

// fault is one kind of fault. start injects it and returns a description of the
// target for the log and a function that ends the fault.
type fault struct {
	name  string
	start func(s *Soak) (what string, end func())
}

// faults are the kinds of faults that a schedule draws from, each entry with the same
// probability. Their order and number determine the schedule of a seed.
var faults = []fault{
	{"kill", func(s *Soak) (string, func()) { return s.signalRandom(syscall.SIGKILL) }},
	{"term", func(s *Soak) (string, func()) { return s.signalRandom(syscall.SIGTERM) }},
	{"pause", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		i.Signal(syscall.SIGSTOP)
		return i.name, s.disturbances.begin(func() { i.Signal(syscall.SIGCONT) }, i.name)
	}},
	{"reload", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		i.Signal(syscall.SIGHUP)
		return i.name, func() {}
	}},
	// All nodes are killed and start again at the same time.
	{"herd", func(s *Soak) (string, func()) {
		s.herd()
		return "all", func() {}
	}},
	// Bytes between two nodes are delayed or dropped. There is no fault if the same node
	// is drawn twice.
	{"link", func(s *Soak) (string, func()) {
		a, b := s.randomInstance(), s.randomInstance()
		p, ok := s.proxies[a.name+">"+b.name]
		if !ok {
			return "none", func() {}
		}
		mode := []Mode{Delay, DropToTarget, DropToDialer, DropBoth}[s.rnd.IntN(4)]
		p.SetMode(mode)
		return fmt.Sprintf("%s>%s mode %d", a.name, b.name, mode), s.disturbances.begin(func() { p.SetMode(Pass); p.Reset() }, a.name, b.name)
	}},
	{"reset", func(s *Soak) (string, func()) {
		for _, p := range s.proxies {
			p.Reset()
		}
		s.disturbances.begin(func() {}, everywhere)()
		return "all links", func() {}
	}},
	{"store", func(s *Soak) (string, func()) {
		f := []storetest.Fault{storetest.Unavailable, storetest.Unresponsive, storetest.DropResponses, storetest.ReadOnly}[s.rnd.IntN(4)]
		s.store.SetFault(f)
		return fmt.Sprintf("fault %d", f), s.disturbances.begin(func() { s.store.SetFault(storetest.NoFault) }, everywhere)
	}},
	// One node is cut off from the store.
	{"storecut", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		p := s.storeProxies[i.name]
		p.SetMode(DropBoth)
		return i.name, s.disturbances.begin(func() { p.SetMode(Pass); p.Reset() }, i.name)
	}},
	// The store truncates its history of changes: followers that are behind must read all
	// rows again.
	{"forget", func(s *Soak) (string, func()) { s.store.TruncateHistory(); return "history", func() {} }},
	{"server", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		t := Slow + Misbehavior(s.rnd.IntN(int(Chunked)))
		i.server.SetMisbehavior(t)
		return fmt.Sprintf("%s trouble %d", i.name, t), func() { i.server.SetMisbehavior(NoMisbehavior) }
	}},
	{"drain", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		i.server.Drain()
		return i.name, func() { i.server.NewIncarnation(coldTime) }
	}},
	// Listed twice so that it is drawn twice as often.
	{"configuration", func(s *Soak) (string, func()) { s.publishConfiguration(); return "next", func() {} }},
	{"configuration", func(s *Soak) (string, func()) { s.publishConfiguration(); return "next", func() {} }},
	// The store comes back from a copy up to maxCopies seconds old. The operator writes what was lost
	// again at the end of the fault.
	{"restore", func(s *Soak) (string, func()) {
		age := s.restoreStore()
		return fmt.Sprintf("copy %d", age), s.disturbances.begin(s.rewrite, everywhere)
	}},
	// A key is revoked while a node reaches neither the store nor its peers, or is frozen.
	{"isolate", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		s.isolate(i, DropBoth)
		s.publishConfiguration()
		return i.name, s.disturbances.begin(func() { s.isolate(i, Pass) }, everywhere)
	}},
	{"freeze", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		i.Signal(syscall.SIGSTOP)
		s.publishConfiguration()
		return i.name, s.disturbances.begin(func() { i.Signal(syscall.SIGCONT) }, i.name)
	}},
	// One failure domain is evacuated, or two at once.
	{"evacuate", func(s *Soak) (string, func()) {
		domains := s.domains()
		s.rnd.Shuffle(len(domains), func(a, b int) { domains[a], domains[b] = domains[b], domains[a] })
		domains = domains[:1+s.rnd.IntN(2)]
		return strings.Join(domains, " "), s.evacuate(domains)
	}},
	// A server restarts and is cold.
	{"cold", func(s *Soak) (string, func()) {
		i := s.randomInstance()
		i.server.NewIncarnation(coldTime)
		return i.name, func() {}
	}},
}

// minHold is the least time for which a fault is held so that late requests are detected.
var minHold = map[string]time.Duration{"drain": drainGrace, "isolate": revoke, "freeze": revoke, "evacuate": evacuate}

// isolate sets the mode of the way between a node and the store, and of all links: a node that got
// rows from a peer dials the proxies of that peer, so that its own are not the only ones that it uses.
func (s *Soak) isolate(i *Instance, m Mode) {
	ways := slices.Collect(maps.Values(s.proxies))
	for _, p := range append(ways, s.storeProxies[i.name]) {
		p.SetMode(m)
		if m == Pass {
			p.Reset()
		}
	}
}

func (s *Soak) randomInstance() *Instance { return s.instances[s.rnd.IntN(len(s.instances))] }

// signalRandom ends a random process, which runSchedule starts again.
func (s *Soak) signalRandom(sig syscall.Signal) (string, func()) {
	i := s.randomInstance()
	i.Signal(sig)
	return i.name, func() {}
}

// runSchedule injects faults at random times, several at once, and restarts processes
// that have exited, as the platform does. It returns a log line for each fault.
func (s *Soak) runSchedule(ctx context.Context) []string {
	s.runEvery(200*time.Millisecond, func() {
		for _, i := range s.instances {
			if err := i.Start(); err != nil {
				s.checker.Violationf("%s failed to start: %v", i.name, err)
			}
		}
	})
	began := time.Now()
	var log []string
	var ends []func()
	for time.Since(began) < s.opts.Duration && ctx.Err() == nil {
		f := faults[s.rnd.IntN(len(faults))]
		what, end := f.start(s)
		log = append(log, fmt.Sprintf("%6.2fs %s %s", time.Since(began).Seconds(), f.name, what))
		hold := time.Duration(s.rnd.IntN(3000)) * time.Millisecond
		ends = append(ends, endAfter(minHold[f.name]+hold, end))
		time.Sleep(time.Duration(s.rnd.IntN(900)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	return log
}

// endAfter calls end exactly once: after d, or earlier when the returned function is
// called. The returned function returns only after end has returned.
func endAfter(d time.Duration, end func()) func() {
	done := make(chan struct{})
	timer := time.AfterFunc(d, func() { end(); close(done) })
	return func() {
		if timer.Stop() {
			end()
			return
		}
		<-done
	}
}

// clearFaults ends all faults that may still be active after the schedule.
func (s *Soak) clearFaults() {
	s.store.SetFault(storetest.NoFault)
	for _, i := range s.instances {
		i.Signal(syscall.SIGCONT)
		i.server.SetMisbehavior(NoMisbehavior)
	}
	for _, p := range s.proxies {
		p.SetMode(Pass)
	}
	for _, p := range s.storeProxies {
		p.SetMode(Pass)
	}
}
