package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

const killSignal = syscall.SIGKILL

// fault is one kind of trouble. start begins it and returns what ends it.
type fault struct {
	name  string
	start func(s *Soak) (what string, end func())
}

// faults are the kinds of trouble that a schedule draws from.
var faults = []fault{
	{"kill", func(s *Soak) (string, func()) { return s.signalled(syscall.SIGKILL) }},
	{"term", func(s *Soak) (string, func()) { return s.signalled(syscall.SIGTERM) }},
	{"pause", func(s *Soak) (string, func()) {
		i := s.pick()
		i.Signal(syscall.SIGSTOP)
		return i.name, func() { i.Signal(syscall.SIGCONT) }
	}},
	{"reload", func(s *Soak) (string, func()) {
		i := s.pick()
		i.Signal(syscall.SIGHUP)
		return i.name, func() {}
	}},
	{"herd", func(s *Soak) (string, func()) {
		for _, i := range s.instances {
			i.Signal(syscall.SIGKILL)
		}
		return "all", func() {}
	}},
	{"link", func(s *Soak) (string, func()) {
		a, b := s.pick(), s.pick()
		p, ok := s.proxies[a.name+">"+b.name]
		if !ok {
			return "none", func() {}
		}
		mode := []Mode{Delay, SilenceThere, SilenceBack, Silence}[s.rnd.IntN(4)]
		p.Set(mode)
		return fmt.Sprintf("%s>%s mode %d", a.name, b.name, mode), func() { p.Set(Pass); p.Reset() }
	}},
	{"reset", func(s *Soak) (string, func()) {
		for _, p := range s.proxies {
			p.Reset()
		}
		return "all links", func() {}
	}},
	{"store", func(s *Soak) (string, func()) {
		f := []storetest.Fault{storetest.Unavailable, storetest.Unresponsive, storetest.DropResponses, storetest.ReadOnly}[s.rnd.IntN(4)]
		s.store.SetFault(f)
		return fmt.Sprintf("fault %d", f), func() { s.store.SetFault(storetest.NoFault) }
	}},
	{"storecut", func(s *Soak) (string, func()) {
		i := s.pick()
		p := s.storeView[i.name]
		p.Set(Silence)
		return i.name, func() { p.Set(Pass); p.Reset() }
	}},
	{"forget", func(s *Soak) (string, func()) { s.store.TruncateHistory(); return "history", func() {} }},
	{"server", func(s *Soak) (string, func()) {
		i := s.pick()
		t := []Trouble{Slow, Failing, Shedding, Losing, Extra}[s.rnd.IntN(5)]
		i.server.Set(t)
		return fmt.Sprintf("%s trouble %d", i.name, t), func() { i.server.Set(Well) }
	}},
	{"drain", func(s *Soak) (string, func()) {
		i := s.pick()
		i.server.Drain()
		return i.name, i.server.Renew
	}},
	{"configuration", func(s *Soak) (string, func()) { s.configure(); return "next", func() {} }},
	{"configuration", func(s *Soak) (string, func()) { s.configure(); return "next", func() {} }},
}

func (s *Soak) pick() *Instance { return s.instances[s.rnd.IntN(len(s.instances))] }

// signalled ends one process; the keeper starts it again.
func (s *Soak) signalled(sig syscall.Signal) (string, func()) {
	i := s.pick()
	i.Signal(sig)
	return i.name, func() {}
}

// play starts faults at random times, several at once, and restarts processes that
// have ended, as the platform does.
func (s *Soak) play(ctx context.Context) []string {
	s.every(200*time.Millisecond, func() {
		for _, i := range s.instances {
			if err := i.Start(); err != nil {
				s.checker.Broken("%s does not start: %v", i.name, err)
			}
		}
	})
	began := time.Now()
	var played []string
	var ends []func()
	for time.Since(began) < s.opts.Length && ctx.Err() == nil {
		f := faults[s.rnd.IntN(len(faults))]
		what, end := f.start(s)
		played = append(played, fmt.Sprintf("%6.2fs %s %s", time.Since(began).Seconds(), f.name, what))
		if hold := time.Duration(s.rnd.IntN(3000)) * time.Millisecond; f.name == "drain" {
			ends = append(ends, after(drainBound+hold, end)) // a leaving server stays a while
		} else {
			ends = append(ends, after(hold, end))
		}
		time.Sleep(time.Duration(s.rnd.IntN(900)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	return played
}

// after calls end once, after the time or when the returned function is called, which
// waits for it.
func after(d time.Duration, end func()) func() {
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

// heal ends what the schedule may have left.
func (s *Soak) heal() {
	s.store.SetFault(storetest.NoFault)
	for _, i := range s.instances {
		i.Signal(syscall.SIGCONT)
		i.server.Set(Well)
	}
	for _, p := range s.proxies {
		p.Set(Pass)
	}
	for _, p := range s.storeView {
		p.Set(Pass)
	}
}
