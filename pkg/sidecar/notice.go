package sidecar

import (
	"math"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
)

// lastNotice holds the last reported notice of the local server. It is safe for
// concurrent use; mu guards the fields.
type lastNotice struct {
	mu          sync.Mutex
	incarnation string
	notice      call.ServerNotice
}

// replace stores a notice if it differs enough from the last one of the incarnation to be
// reported, and reports whether it does. It also returns the last one. Small changes of a
// limit are not worth a message to every node.
func (l *lastNotice) replace(incarnation string, notice call.ServerNotice) (call.ServerNotice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation != incarnation {
		l.incarnation, l.notice = incarnation, call.ServerNotice{}
	}
	before := l.notice
	if before.Leaving == notice.Leaving && before.Limited == notice.Limited &&
		math.Abs(before.RequestLimit-notice.RequestLimit) <= limitReportShare*before.RequestLimit {
		return before, false
	}
	l.notice = notice
	return before, true
}

// get returns the last reported notice of the given incarnation.
func (l *lastNotice) get(incarnation string) call.ServerNotice {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation != incarnation {
		return call.ServerNotice{}
	}
	return l.notice
}

// Noticed implements admission.Observer. It reports a change of what the local server says
// of itself, to the log and to all nodes. A server that says that it leaves is treated as
// draining: its heartbeats may be late or may not say so.
func (o *observer) Noticed(incarnation string, notice call.ServerNotice, err error) {
	n := (*Node)(o)
	if err != nil {
		n.metrics.noticesMalformed.Inc()
		if n.malformed.Allow() {
			event.UpstreamNoticeMalformed.LogError(err, "server", incarnation)
		}
		if !notice.Leaving {
			return
		}
	}
	if notice.Leaving && n.tracker.Leave(time.Now(), incarnation) {
		event.UpstreamLeaving.Log("server", incarnation)
		n.announceChange()
		n.departures.request()
	}
	before, changed := n.notice.replace(incarnation, notice)
	if !changed {
		return
	}
	if notice.Limited || before.Limited {
		event.UpstreamLimited.Log("server", incarnation, "limited", notice.Limited, "limit", notice.RequestLimit)
	}
	limit := -1.0
	if notice.Limited {
		limit = notice.RequestLimit
	}
	n.metrics.serverRequestLimit.Set(limit)
	n.announceServer()
}
