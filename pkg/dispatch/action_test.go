package dispatch

import (
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Guards against a request that runs twice, a refusal of one that has run, and a
// request that is given up although another server may take it.
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
		{"served", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: true}, served, Answer},
		{"refused by a gate", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 0, placed: 1, left: second, maybeRan: false}, refused, Elsewhere},
		{"refused by every gate", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 0, placed: maxPlacements, left: second, maybeRan: false}, refused, Refuse},
		{"refused after a run", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, placed: maxPlacements, left: second, maybeRan: true}, refused, Fail},
		{"shed, unsafe", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: false}, shed, Repeat},
		{"shed, attempts used", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 2, placed: 2, left: second, maybeRan: false}, shed, Refuse},
		{"lost, safe", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: true}, lost, Repeat},
		{"lost, unsafe", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: true}, lost, Fail},
		{"shed after a loss, unsafe", attemptState{kind: routing.Unsafe, attempts: 3, arrivals: 2, placed: 2, left: second, maybeRan: true}, shed, Fail},
		{"failed, safe", attemptState{kind: routing.Download, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: true}, failed, Repeat},
		{"failed, unsafe", attemptState{kind: routing.Unsafe, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: true}, failed, Answer},
		{"failed, no time", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, placed: 1, left: 0, maybeRan: true}, failed, Answer},
		{"refused, client gone", attemptState{kind: routing.Safe, attempts: 2, placed: 1, left: second, gone: true}, refused, Refuse},
		{"lost, client gone", attemptState{kind: routing.Safe, attempts: 2, arrivals: 1, placed: 1, left: second, maybeRan: true, gone: true}, lost, Fail},
		{"lost, attempts used", attemptState{kind: routing.Safe, attempts: 2, arrivals: 2, placed: 2, left: second, maybeRan: true}, lost, Fail},
	}
	for _, test := range tests {
		if got := decide(test.state, test.res); got != test.want {
			t.Errorf("%s: action %d, want %d", test.name, got, test.want)
		}
	}
}
