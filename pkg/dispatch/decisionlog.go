package dispatch

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/placement"
)

// decisionLog writes one line for each decision on a request, at a bounded rate.
// The next line tells how many were left out.
type decisionLog struct {
	limiter *rate.Limiter
	omitted atomic.Int64
}

func newDecisionLog() *decisionLog {
	return &decisionLog{limiter: rate.NewLimiter(decisionLogRate, decisionLogBurst)}
}

func (l *decisionLog) write(e event.Event, keysAndValues ...any) {
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	if n := l.omitted.Swap(0); n > 0 {
		keysAndValues = append(keysAndValues, "omittedBefore", n)
	}
	e.Log(keysAndValues...)
}

// logOutcome records the outcome of one attempt unless it is a plain success.
func (e *Dispatcher) logOutcome(x *exchange, choice placement.Choice, res call.Response, a Action) {
	if a == Answer && len(x.tried) == 1 && res.Status/100 == 2 {
		return
	}
	e.log.write(event.RequestAttempt, "request", x.req.ID, "route", x.route.Name, "configuration", x.table.Version,
		"node", choice.Node, "instance", choice.Server.Incarnation, "version", choice.Server.Version,
		"status", res.Status, "refusal", res.Refusal, "ran", res.Ran, "action", a.String(),
		"running", res.Load.Running, "waiting", res.Load.Waiting, "slots", res.Load.Slots)
}

// String returns the name of the action in logs.
func (a Action) String() string {
	return [...]string{"answer", "elsewhere", "repeat", "refuse", "fail"}[a]
}
