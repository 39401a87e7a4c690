package dispatch

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/placement"
)

// decisionLog logs decisions on requests at a limited rate. A line that follows omitted
// ones includes their number.
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

// logOutcome logs the outcome of an attempt unless it is a success at the first server.
func (d *Dispatcher) logOutcome(x *exchange, choice placement.Choice, res call.Response, a Action) {
	if a == Respond && len(x.tried) == 1 && res.Status/100 == 2 {
		return
	}
	d.log.write(event.RequestAttempt, "request", x.req.ID, "route", x.route.Name, "configuration", x.table.Version,
		"node", choice.Node, "instance", choice.Server.Incarnation, "version", choice.Server.Version,
		"status", res.Status, "refusal", res.Refusal, "ran", res.Ran, "action", a.String(),
		"running", res.Load.Running, "waiting", res.Load.Waiting, "slots", res.Load.Slots)
}

// String returns the name of the action in logs. The names differ from those of the
// constants, because logged values are kept stable.
func (a Action) String() string {
	return [...]string{"answer", "elsewhere", "repeat", "refuse", "fail"}[a]
}
