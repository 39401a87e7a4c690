package proxy

import "time"

// reuseGuard decides whether the connections to one address may be reused. A response of
// HTTP/1.1 does not tell its request: once a server has sent bytes outside of an exchange,
// each connection to it serves one request, until none were seen for noReuseTime. The owner
// guards it.
type reuseGuard struct {
	until time.Time // zero while connections are reused
}

// forbid ends the reuse of connections and reports whether they were reused until now.
func (g *reuseGuard) forbid(now time.Time) (changed bool) {
	changed = !g.forbidden()
	g.until = now.Add(noReuseTime)
	return changed
}

func (g *reuseGuard) forbidden() bool { return !g.until.IsZero() }

// lift allows the reuse again once noReuseTime is over, and reports whether it did.
func (g *reuseGuard) lift(now time.Time) (changed bool) {
	if !g.forbidden() || now.Before(g.until) {
		return false
	}
	g.until = time.Time{}
	return true
}

// maxIdle returns how many idle connections are kept, either for reuse or only to see
// whether the server still sends bytes outside of an exchange.
func (g *reuseGuard) maxIdle() int {
	if g.forbidden() {
		return maxWatchedPerAddress
	}
	return maxIdlePerAddress
}
