package sidecar

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/quota"
)

// accountMetrics holds the metrics of the limits of accounts. It is safe for concurrent use; mu
// guards the map.
type accountMetrics struct {
	reports  prometheus.Counter
	tokens   prometheus.Counter
	coverage *prometheus.GaugeVec
	refusals *prometheus.CounterVec

	mu        sync.Mutex
	limitedAt map[string]time.Time // when a request of the account was last refused
}

// otherAccounts is the label value of the accounts beyond maxAccountLabels.
const otherAccounts = "other"

func newAccountMetrics(reg prometheus.Registerer) *accountMetrics {
	m := &accountMetrics{
		reports:  prometheus.NewCounter(prometheus.CounterOpts{Name: "corianderwood_account_reports_total", Help: "Reports to the coordinators of account limits."}),
		tokens:   prometheus.NewCounter(prometheus.CounterOpts{Name: "corianderwood_account_tokens_granted_total", Help: "Tokens for requests of limited accounts that coordinators granted to this node."}),
		coverage: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "corianderwood_account_limit_coverage", Help: "Part of the nodes' shares that the coordinator of each part of the limits holds, 0 to 1."}, []string{"part"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "corianderwood_account_limited_total", Help: "Requests refused because their account is at its limit, by account; the first accounts have a label of their own, the rest share one."}, []string{"account"}),

		limitedAt: make(map[string]time.Time),
	}
	limited := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "corianderwood_accounts_limited", Help: "Accounts of which a request was refused at their limit within the last seconds."}, m.countLimited)
	reg.MustRegister(m.reports, m.tokens, m.coverage, m.refusals, limited)
	return m
}

func (m *accountMetrics) granted(g quota.Grant) {
	for _, t := range g.Tokens {
		m.tokens.Add(float64(t.Granted))
	}
	m.coverage.WithLabelValues(strconv.Itoa(g.Stripe)).Set(g.Coverage)
}

// limited records a refused request, and reports whether it is the first one of the account for a
// while.
func (m *accountMetrics) limited(account string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, known := m.limitedAt[account]
	if !known && len(m.limitedAt) >= maxAccountLabels {
		account = otherAccounts
		last = m.limitedAt[account]
	}
	m.limitedAt[account] = now
	m.refusals.WithLabelValues(account).Inc()
	return now.Sub(last) > limitedFor
}

func (m *accountMetrics) countLimited() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, at := range m.limitedAt {
		if time.Since(at) <= limitedFor {
			count++
		}
	}
	return float64(count)
}
