package dispatch

import (
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/placement"
)

// logOutcome logs the outcome of an attempt unless it is a success at the first server.
func (d *Dispatcher) logOutcome(x *exchange, choice placement.Choice, res call.Response, a Action) {
	if a == Respond && len(x.tried) == 1 && res.Status/100 == 2 {
		return
	}
	d.log.Write(event.RequestAttempt, "request", x.req.ID, "route", x.route.Name, "configuration", x.table.Version,
		"node", choice.Node, "instance", choice.Server.Incarnation, "version", choice.Server.Version,
		"status", res.Status, "refusal", res.Refusal, "ran", res.Ran, "action", a.String(),
		"running", res.Load.Running, "waiting", res.Load.Waiting, "slots", res.Load.Slots)
}

// String returns the name of the action in logs. The names differ from those of the
// constants, because logged values are kept stable.
func (a Action) String() string {
	return [...]string{"answer", "elsewhere", "repeat", "refuse", "fail"}[a]
}
