package admission

import (
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Guards against accepting requests whose large responses the uplink cannot send on
// time, and against reservations of bandwidth that are never released.
func TestRefusesRequestsBeyondUplinkCapacity(t *testing.T) {
	const size, target = 280_000, 600 * time.Millisecond
	g := New(Options{Uplink: uplink.New(38e6 / 8)})
	g.queue.SetSlots(start, 50)
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
				t.Errorf("refusal %q, retry after %v", why, after)
			}
			break
		}
		if accepted = append(accepted, job); len(accepted) > 50 {
			t.Fatal("requests are accepted beyond the capacity of the uplink")
		}
	}
	if n := len(accepted); n < 7 || n > 9 { // 63 ms each, within 600 ms less the last one
		t.Errorf("%d requests were accepted, want 7 to 9", n)
	}
	if _, why, _ := offer("look-up"); why != "" {
		t.Errorf("a request with a small response was refused: %q", why)
	}
	for _, job := range accepted {
		job.releaseUplink()
	}
	if _, why, _ := offer("chart"); why != "" {
		t.Errorf("refused with %q although the uplink is idle", why)
	}
}
