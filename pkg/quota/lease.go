package quota

import "time"

// lease is the state of one stripe at a node: which coordinator it reports to, and to whom the
// node's share is leased.
type lease struct {
	// coordinator is asked for tokens. number, echo, echoAt and received are those of the last
	// report and grant.
	coordinator Process
	number      uint64
	echo        Time
	echoAt      Time
	received    uint64
	coverage    float64
	sent        [sentReports]sent
	sentAt      Time          // time of the last report
	urgentAt    Time          // time of the last urgent report
	answerTime  time.Duration // from the last answered report to its grant
	unanswered  Time          // time of the first report without a grant; 0 if there is none
	// holder is the process that the share is leased to, at most until the time until. It is
	// the zero value if an earlier process of this node may have leased it to any.
	holder Process
	until  Time
}

// changeTo changes the coordinator.
func (l *lease) changeTo(p Process) {
	l.coordinator, l.echo, l.echoAt, l.received, l.coverage, l.unanswered = p, 0, 0, 0, 0, 0
	l.sent = [sentReports]sent{}
}

// mayLease reports whether the share can be leased to the coordinator without being leased to
// another one at the same time.
func (l *lease) mayLease(now Time) bool {
	return l.echo > 0 && (l.holder == l.coordinator || now >= l.until.Add(countInterval))
}

// record records that a report is sent, and leases the share for the given time.
func (l *lease) record(now Time, leased time.Duration) {
	l.number++
	l.sent[l.number%sentReports] = sent{l.number, now}
	l.sentAt = now
	if l.unanswered == 0 {
		l.unanswered = now
	}
	if leased > 0 {
		l.holder = l.coordinator
		l.until = max(l.until, now.Add(leased))
	}
}

// answered returns when the report was sent that a grant responds to, if it is the first grant
// for the report and none of a later grant was received.
func (l *lease) answered(g Grant) (Time, bool) {
	s := &l.sent[g.Report%sentReports]
	if s.number != g.Report || g.Report == 0 || g.Number <= l.received {
		return 0, false
	}
	s.number = 0
	return s.at, true
}
