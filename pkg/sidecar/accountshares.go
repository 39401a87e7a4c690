package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/rowcache"
	"corianderwood.example/corianderwood/pkg/shares"
)

// accountShares knows which part of the account limits this node may use, and proposes other members.
// It is in use if Bounds.QuotaEpochs is set or the row is of a later epoch than 0. It is safe for
// concurrent use and may be nil; mu guards the fields below it.
type accountShares struct {
	node    *Node
	enabled bool
	timing  shares.Timing

	mu       sync.Mutex
	k        *shares.Knowledge
	proposer *shares.Proposer
	// asked holds when the last questions were sent, by their number.
	number     uint64
	asked      map[uint64]quota.Time
	nextAsk    quota.Time
	part       float64    // share in use
	readySince quota.Time // from when there is a row to write; 0 while there is none
	checkAt    quota.Time // of the next proposal
}

func newAccountShares(n *Node) *accountShares {
	t := n.deploy.ShareTiming
	if t == (shares.Timing{}) {
		t = shares.DefaultTiming
	}
	s := &accountShares{
		node: n, enabled: n.settings.Bounds.QuotaEpochs, timing: t, k: shares.New(n.settings.Node, t), proposer: shares.NewProposer(t),
		asked: make(map[uint64]quota.Time),
	}
	gauge := func(name, help string, value func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return value()
		}))
	}
	gauge("corianderwood_account_share", "Part of each account limit that this node may use, if members change.", func() float64 { return s.part })
	gauge("corianderwood_account_epoch", "Epoch of the nodes with a share of the account limits.", func() float64 {
		row, _, _ := s.k.Row()
		return float64(row.Epoch)
	})
	return s
}

// active reports whether members may change.
func (s *accountShares) active() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, _, _ := s.k.Row()
	return s.enabled || row.Epoch > 0
}

// learn records a row of the copy.
func (s *accountShares) learn(row rowcache.Row) (shares.Row, error) {
	r, err := shares.Decode(row.Value)
	if err != nil {
		return r, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, version, known := s.k.Row()
	s.k.Learn(quotaTime(), row.Version, r)
	if row.Version > version && (!known || before.Epoch != r.Epoch || len(before.Previous) != len(r.Previous)) && (s.enabled || r.Epoch > 0) {
		event.AccountEpochKnown.Log("epoch", r.Epoch, "nodes", len(r.Members), "before", len(r.Previous), "settled", s.k.Settled(), "row", row.Version)
	}
	return r, nil
}

// read records an answered read of the mesh table whose rows are in the copy.
func (s *accountShares) read(table string, r tableRead) {
	if s == nil || table != meshTable {
		return
	}
	version := uint64(0)
	if row, ok := s.node.cache.Get(meshTable, accountMembersKey); ok {
		if _, err := s.learn(row); err != nil {
			return // applyRows reports it
		}
		if row.Version <= r.version { // otherwise a peer knows a newer row than the answer shows
			version = row.Version
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.k.Read(quotaTime(), r.began, version)
}

// use returns the share that may be leased until the given time, and the number of members.
func (s *accountShares) use(now quota.Time) (part float64, until quota.Time, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, _, _ := s.k.Row()
	part, until = s.k.Share(now)
	if part != s.part {
		member := slices.Contains(row.Members, s.node.settings.Node)
		if part == 0 && member && s.k.Settled() {
			event.AccountShareExpired.Log("epoch", row.Epoch, "before", s.part)
		} else {
			event.AccountShareUsed.Log("epoch", row.Epoch, "part", part, "before", s.part, "settled", s.k.Settled())
		}
		s.part = part
	}
	return part, until, len(row.Members)
}

// ask asks peers for what they know if it is time.
func (s *accountShares) ask(now quota.Time) {
	s.mu.Lock()
	one, all := s.k.Ask(now)
	if now < s.nextAsk || !one && !all {
		s.mu.Unlock()
		return
	}
	interval := s.timing.Valid / askInterval
	if _, until := s.k.Share(now); all && now < until {
		interval *= 3 // in a fleet of 1,400 nodes, 23 questions per second and node
	}
	s.nextAsk = now.Add(interval)
	s.number++
	s.asked[s.number] = now
	delete(s.asked, s.number-maxAskedShares)
	number := s.number
	s.mu.Unlock()
	links := s.node.peers.workingLinks()
	if !all {
		links = s.oneOf(links)
	}
	for _, l := range links {
		_ = l.Send(link.KindSharesRequest, link.SharesRequest{Number: number}) // without an answer, it is asked again
	}
}

// oneOf returns a random link to a node that reads the store, or to any if none does.
func (s *accountShares) oneOf(links []*link.Link) []*link.Link {
	following := s.node.election.following(time.Now())
	var eligible []*link.Link
	for _, l := range links {
		if following[l.Peer.Node] {
			eligible = append(eligible, l)
		}
	}
	if len(eligible) == 0 {
		eligible = links
	}
	if len(eligible) == 0 {
		return nil
	}
	return []*link.Link{eligible[rand.IntN(len(eligible))]}
}

// due reports whether it is time to consider a proposal.
func (s *accountShares) due(now quota.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.enabled || now < s.checkAt {
		return false
	}
	s.checkAt = now.Add(shareCheckInterval)
	return true
}

// propose writes the next epoch, or that the epoch is settled, when it is this node's turn.
func (s *accountShares) propose(ctx context.Context, now quota.Time, linked []string, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(linked, s.node.settings.Node) {
		return
	}
	next, ok := s.proposer.Next(now, s.k, linked)
	if !ok {
		s.readySince = 0
		return
	}
	if s.readySince == 0 {
		s.readySince = now
	}
	if now.Sub(s.readySince) < time.Duration(rank)*memberStagger {
		return
	}
	value, err := next.Encode()
	if err != nil {
		event.AccountSharesWriteFailed.LogError(err)
		return
	}
	s.checkAt = now.Add(memberRetry)
	_, version, _ := s.k.Row()
	event.AccountEpochProposed.Log("epoch", next.Epoch, "nodes", len(next.Members), "before", len(next.Previous), "row", version)
	go s.node.writeAccountMembers(ctx, platform.Write{Value: value, Condition: platform.IfRevision, Revision: version})
}

// rewritten returns the value of the row if the store has lost it; false if this node can't tell whether
// what it knows is still in use.
func (s *accountShares) rewritten(now quota.Time) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, _, known := s.k.Row()
	_, until := s.k.Share(now)
	if !known || !s.k.Settled() || now >= until {
		return nil, false
	}
	value, err := shares.Row{Epoch: row.Epoch, Members: row.Members}.Encode()
	return value, err == nil
}

// SharesRequest answers a peer.
func (h *handler) SharesRequest(l *link.Link, r link.SharesRequest) {
	s := h.shares
	if !s.active() {
		return
	}
	s.mu.Lock()
	statement, ok := s.k.State(quotaTime())
	s.mu.Unlock()
	if ok {
		_ = l.Send(link.KindShares, link.Shares{Number: r.Number, Statement: statement}) // the peer asks again
	}
}

// Shares uses a peer's answer.
func (h *handler) Shares(l *link.Link, a link.Shares) {
	s := h.shares
	s.mu.Lock()
	askedAt, ok := s.asked[a.Number]
	if ok {
		s.k.Answer(quotaTime(), askedAt, l.Peer.Node, a.Statement)
	}
	s.mu.Unlock()
	if ok {
		(*Node)(h).considerRows(l, meshTable, a.Statement.Version, 0)
	}
}

// QuotaShareReport answers the report of a peer on the link on which it came.
func (h *handler) QuotaShareReport(l *link.Link, r quota.ShareReport) {
	if g, ok := h.limits.answerShare(quota.Process{Node: l.Peer.Node, ID: l.Peer.Process}, r); ok {
		_ = l.Send(link.KindQuotaGrant, g) // after a lost link, the peer reports again
	}
}

// writeAccountMembers writes the row with the nodes that have a share. It arrives like all others.
func (n *Node) writeAccountMembers(ctx context.Context, w platform.Write) {
	ctx, cancel := context.WithTimeout(ctx, departureStoreTimeout)
	defer cancel()
	n.metrics.storeCalls.Inc()
	w.Key = meshTable + "/" + accountMembersKey
	if err := n.deploy.Store.Transact(ctx, []platform.Write{w}); err != nil && !errors.Is(err, platform.ErrConflict) {
		event.AccountSharesWriteFailed.LogError(err)
	}
}
