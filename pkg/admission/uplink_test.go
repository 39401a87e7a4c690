package admission

import (
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Guards against downloads that are accepted although the link can't carry them on
// time, and against room on the link that is not given back.
func TestGateRefusesWhatTheLinkCannotCarry(t *testing.T) {
	const size, target = 280_000, 600 * time.Millisecond
	g := New(Options{Uplink: uplink.New(38e6 / 8)})
	g.line.SetSlots(start, 50)
	for range 50 {
		g.sizes.observe("chart", size)
	}
	now := time.Now()
	offer := func(route string) (*Job, reason.Refusal, time.Duration) {
		job := NewJob(1, 100*time.Millisecond, now.Add(target))
		why, after := g.offer(now, &call.Request{Route: route, SoftDeadline: now.Add(target)}, job)
		return job, why, after
	}
	var accepted []*Job
	for {
		job, why, after := offer("chart")
		if why != "" {
			if why != reason.UplinkFull || after < minRetryAfter || after > maxRetryAfter {
				t.Errorf("refused with %q, come back after %v", why, after)
			}
			break
		}
		if accepted = append(accepted, job); len(accepted) > 50 {
			t.Fatal("the link never fills")
		}
	}
	if n := len(accepted); n < 7 || n > 9 { // 63 ms each, in 600 ms less the last one's own
		t.Errorf("%d charts were accepted", n)
	}
	if _, why, _ := offer("look-up"); why != "" {
		t.Errorf("a small response was refused with %q", why)
	}
	for _, job := range accepted {
		job.release()
	}
	if _, why, _ := offer("chart"); why != "" {
		t.Errorf("refused with %q on a free link", why)
	}
}
