package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowVersion plays the roll-out of a version half of whose requests take eight times as long, which is
// longer than the time-out of their route. It reports whether EXPOSURE held.
func slowVersion(m *mesh, trouble bool) (bool, error) {
	const (
		work        = 120 * time.Millisecond
		slowFactor  = 8
		slowShare   = 0.5
		timeout     = "800ms"
		interval    = 125 * time.Millisecond // of the requests at each node
		order       = `{"service":"front","target":"v2","duration":"16s"}`
		countedBad  = 50
		rollback    = 5 * time.Second
		playedFor   = 34 * time.Second
		drainsAfter = 2 * time.Second // from rolled_back to the end of the new servers
	)
	e := exposure{m: m, ranAt: make(map[string]string)}
	for i, s := range m.servers {
		if i >= len(m.servers)/2 {
			s.version = "v2"
		}
		s.work = func() time.Duration {
			if trouble && s.version == "v2" && rand.Float64() < slowShare {
				return slowFactor * work
			}
			return work
		}
		s.ran = func(id string) { e.ran(id, s.version, rollback) }
		s.answered = func(id string, status int, took time.Duration) { e.serverAnswered(s.version, status, countedBad) }
	}
	for _, c := range m.clients {
		c.answered = func(id string, status int) { e.clientAnswered(id, status, countedBad) }
	}
	if err := m.begin(timeout, interval); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m.record.add("the operator orders v2")
	m.store.put("op", "rollout/front", []byte(order))
	e.start()
	ended := false
	for end := time.Now().Add(playedFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		state := m.store.value("status", "rollout/front")
		switch {
		case ended:
		case strings.Contains(state, "completed"):
			ended = true
			m.say("the status says completed; the old servers are stopped")
			e.stop("v1")
		case strings.Contains(state, "rolled_back"):
			ended = true
			m.say("the status says rolled_back; the new servers leave")
			time.AfterFunc(drainsAfter, func() { e.stop("v2") })
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m.say("%d requests ran at v1, %d at v2; %d bad answers of v2's servers, %d of its requests failed at clients",
		e.runs["v1"], e.runs["v2"], e.badAtServers, e.badAtClients)
	m.say("%d requests reached v2 that were sent later than %v after its %dth bad answer", e.late, rollback, countedBad)
	return e.late == 0, nil
}

// exposure counts what the versions get and how they answer.
type exposure struct {
	m *mesh

	mu                         sync.Mutex
	ordered                    bool
	ranAt                      map[string]string // version by request
	runs                       map[string]int
	badAtServers, badAtClients int
	// fiftieth is when both counts had reached the 50th bad answer.
	fiftieth time.Time
	late     int
}

// start begins the counts.
func (e *exposure) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordered, e.runs = true, make(map[string]int)
}

func (e *exposure) ran(id, version string, rollback time.Duration) {
	e.m.record.add("runs      %s at %s", id, version)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ordered {
		return
	}
	e.ranAt[id] = version
	e.runs[version]++
	if s, ok := e.m.find(id); ok && version == "v2" && !e.fiftieth.IsZero() && s.at.Sub(e.fiftieth) > rollback && e.m.allInTouch(s.at) {
		e.late++
	}
}

func (e *exposure) serverAnswered(version string, status, counted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == "v2" && status != http.StatusOK {
		e.badAtServers++
		e.noteFiftieth(counted)
	}
}

func (e *exposure) clientAnswered(id string, status, counted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ranAt[id] == "v2" && status != http.StatusOK {
		e.badAtClients++
		e.noteFiftieth(counted)
	}
}

// noteFiftieth notes when both counts have reached the counted number. The caller holds mu.
func (e *exposure) noteFiftieth(counted int) {
	if e.fiftieth.IsZero() && min(e.badAtServers, e.badAtClients) >= counted {
		e.fiftieth = time.Now()
		e.m.record.add("v2 has given %d bad answers", counted)
	}
}

// stop ends the servers of a version.
func (e *exposure) stop(version string) {
	for _, s := range e.m.servers {
		if s.version == version {
			s.exit()
		}
	}
}
