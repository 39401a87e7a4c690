package dispatch

import (
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// rejectedWithRoom reports whether a server did not run a request although it ran fewer than it
// has slots for. Its load is not the reason then, and waiting does not help the caller: the next
// attempt may succeed at once, and later ones are not more likely to.
func rejectedWithRoom(res call.Response) bool {
	return res.ReachedServer && res.Ran == reason.RanNo && res.Load.Slots > 0 && res.Load.Running+res.Load.Waiting < res.Load.Slots
}

// overloaded reports whether a node refused a request for lack of room.
func overloaded(why reason.Refusal) bool {
	return why == reason.QueueFull || why == reason.QueueDeadline || why == reason.ServerLimit || why == reason.ServerCold || why == reason.DownlinkFull
}
