package gossip

import (
	"maps"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// source is a peer that holds a newer revision.
type source struct {
	addr     string
	revision uint64
}

// fetcher tracks the known sources and the one fetch that may be in progress.
type fetcher struct {
	sources  map[string]source
	from     string // instance asked; empty if none
	deadline time.Time
	full     bool // the last delta did not match the held head; request the whole head
}

// noteRevision records a peer that holds a newer revision and fetches the revision.
func (s *State) noteRevision(now time.Time, from Sender) {
	if from.Revision <= s.store.held.Revision {
		return
	}
	if _, ok := s.fetch.sources[from.Instance]; !ok && len(s.fetch.sources) >= MaxFetchSources {
		return
	}
	s.fetch.sources[from.Instance] = source{from.Addr, from.Revision}
	if from.Revision > s.store.newest() {
		s.startFetch(now)
	}
}

// startFetch sends a fetch to a random holder of the highest known revision, unless a
// fetch is in progress.
func (s *State) startFetch(now time.Time) {
	if s.fetch.from != "" && now.Before(s.fetch.deadline) {
		return
	}
	if s.fetch.from != "" {
		s.countEvent("fetch-timeout")
		delete(s.fetch.sources, s.fetch.from)
		s.fetch.from = ""
	}
	highest := s.store.held.Revision
	var best []string
	for _, name := range slices.Sorted(maps.Keys(s.fetch.sources)) {
		switch rev := s.fetch.sources[name].revision; {
		case rev > highest:
			highest, best = rev, []string{name}
		case rev == highest && len(best) > 0:
			best = append(best, name)
		}
	}
	if len(best) == 0 {
		return
	}
	s.fetchFrom(now, best[s.rnd.IntN(len(best))])
}

func (s *State) fetchFrom(now time.Time, name string) {
	src := s.fetch.sources[name]
	s.fetch.from, s.fetch.deadline = name, now.Add(FetchTimeout)
	if p := s.store.pending; p != nil && p.Revision > src.revision {
		// No known peer holds the pending head any more; waiting for it would prevent
		// this node from getting the revisions before it.
		s.store.pending = nil
	}
	f := &Fetch{Base: s.store.held.Revision}
	if s.fetch.full {
		f.Base = 0
	}
	if s.store.newest() >= src.revision {
		f.Hashes = s.store.missing()
		f.Hashes = f.Hashes[:min(len(f.Hashes), MaxFetchHashes)]
	}
	s.send(src.addr, Message{Fetch: f})
}

// tickFetch starts a fetch if a newer revision is known, and replaces one that
// timed out.
func (s *State) tickFetch(now time.Time) {
	for name, src := range s.fetch.sources {
		if src.revision <= s.store.held.Revision {
			delete(s.fetch.sources, name)
		}
	}
	s.startFetch(now)
}

// onFetch responds to a fetch.
func (s *State) onFetch(m *Message) {
	if s.store.held.Revision == 0 {
		return
	}
	if len(m.Fetch.Hashes) > 0 {
		hashes := m.Fetch.Hashes[:min(len(m.Fetch.Hashes), MaxFetchHashes)]
		if bodies := s.store.bodiesOf(hashes, MaxDeltaBytes); len(bodies) > 0 {
			s.send(m.From.Addr, Message{Bodies: bodies})
			return
		}
	}
	if m.Fetch.Base < s.store.held.Revision {
		d, bodies := s.store.delta(m.Fetch.Base, MaxDeltaBytes)
		s.send(m.From.Addr, Message{Delta: &d, Bodies: bodies})
	}
}

// onDelta stores a newer head and the bodies sent with it.
func (s *State) onDelta(now time.Time, m *Message) {
	if d := m.Delta; d != nil && d.Revision > s.store.newest() {
		if h, ok := s.store.apply(*d); ok {
			s.store.setPending(h)
			s.fetch.full = false
		} else {
			s.countEvent("delta-mismatch")
			s.fetch.full = s.fetch.full || d.Base == s.store.held.Revision
			if d.Full {
				delete(s.fetch.sources, m.From.Instance)
			}
		}
	}
	s.addBodies(now, m.Bodies)
	if m.From.Instance == s.fetch.from {
		s.fetch.from = ""
		if missing := s.store.missing(); len(missing) > 0 && len(m.Bodies) > 0 {
			s.fetchFrom(now, m.From.Instance)
		}
	}
	if m.Delta != nil && m.Delta.WantAck {
		s.ackWhenHeld(m.From, m.Delta.Revision)
	}
}

func (s *State) addBodies(now time.Time, bodies [][]byte) {
	for _, body := range bodies {
		if !s.store.addBody(body) {
			s.countEvent("body-unwanted")
		}
	}
	s.tryComplete(now)
}

// tryComplete makes the pending head the held one if its bodies are complete, and
// announces it.
func (s *State) tryComplete(now time.Time) {
	if !s.store.complete() {
		return
	}
	s.progress.restart(now)
	s.announce()
	s.sendPendingAcks()
}

// Offer stores a head with bodies by hash, as read from the platform, and raises the
// minimum revision to it. Bodies that the state already holds may be left out; missing ones
// are fetched from peers.
func (s *State) Offer(now time.Time, h config.Head, bodies map[string][]byte) {
	s.establish(h.Revision)
	if s.store.setPending(h) {
		for _, body := range bodies {
			s.store.addBody(body)
		}
		s.tryComplete(now)
	}
}

// MissingBodies returns the hashes of a head's bodies that are not held.
func (s *State) MissingBodies(h config.Head) []string { return s.store.missingOf(h) }

// Revision returns the newest complete revision if the minimum revision is established
// and not higher.
func (s *State) Revision() (Revision, bool) {
	if !s.minRev.established || s.store.held.Revision == 0 || s.store.held.Revision < s.minRev.revision {
		return Revision{}, false
	}
	return s.store.revision(), true
}

// HeldRevision returns the number of the revision that Revision would return, or 0.
func (s *State) HeldRevision() uint64 {
	if !s.minRev.established || s.store.held.Revision < s.minRev.revision {
		return 0
	}
	return s.store.held.Revision
}
