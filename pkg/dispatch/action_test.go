package dispatch

import (
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Guards against running a non-idempotent request twice, refusing a request that may
// have run, and giving up a request that another server could run.
func TestDecide(t *testing.T) {
	second := time.Second
	refused := call.Refused(reason.QueueDeadline, 0)
	shed := call.Response{Status: 503, Ran: reason.RanNo, ReachedServer: true}
	lost := call.Response{Refusal: reason.UpstreamFailed, Ran: reason.RanUnknown, ReachedServer: true}
	failed := call.Response{Status: 500, Ran: reason.RanYes, ReachedServer: true}
	served := call.Response{Status: 200, Ran: reason.RanYes, ReachedServer: true}
	tests := []struct {
		name  string
		state attemptState
		res   call.Response
		want  Action
	}{
		{"served", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: true}, served, Respond},
		{"refused by a node", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 0, offers: 1, left: second, maybeRan: false}, refused, Reroute},
		{"refused by all nodes", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 0, offers: maxOffers, left: second, maybeRan: false}, refused, Refuse},
		{"refused after a run", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, offers: maxOffers, left: second, maybeRan: true}, refused, Fail},
		{"shed, unsafe", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: false}, shed, Retry},
		{"shed, attempts used", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 2, offers: 2, left: second, maybeRan: false}, shed, Refuse},
		{"lost, safe", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: true}, lost, Retry},
		{"lost, unsafe", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: true}, lost, Fail},
		{"shed after a loss, unsafe", attemptState{kind: routing.Unsafe, attempts: 3, arrivals: 2, offers: 2, left: second, maybeRan: true}, shed, Fail},
		{"failed, safe", attemptState{kind: routing.Download, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: true}, failed, Retry},
		{"failed, unsafe", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: true}, failed, Respond},
		{"failed, no time left", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, offers: 1, left: 0, maybeRan: true}, failed, Respond},
		{"refused, client canceled", attemptState{kind: routing.Safe, attempts: 2, offers: 1, left: second, canceled: true}, refused, Refuse},
		{"lost, client canceled", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, offers: 1, left: second, maybeRan: true, canceled: true}, lost, Fail},
		{"lost, attempts used", attemptState{kind: routing.Safe, attempts: 2, arrivals: 2, offers: 2, left: second, maybeRan: true}, lost, Fail},
	}
	for _, test := range tests {
		if got := decide(test.state, test.res); got != test.want {
			t.Errorf("%s: action %d, want %d", test.name, got, test.want)
		}
	}
}
