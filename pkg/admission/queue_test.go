package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

var start = time.Unix(1000, 0)

func offer(l *Queue, rank int, cost, patience time.Duration) (*Job, reason.Refusal) {
	j := NewJob(rank, cost, start.Add(patience))
	why, _ := l.Offer(start, j)
	return j, why
}

func admitted(j *Job) bool {
	select {
	case why := <-j.decided:
		return why == ""
	default:
		return false
	}
}

// Guards against more requests at the server than it has slots, and against a
// request that is made to wait although it can't be served on time.
func TestLineAdmission(t *testing.T) {
	l := NewQueue(2)
	const cost = 100 * time.Millisecond
	a, _ := offer(l, 3, cost, time.Second)
	b, _ := offer(l, 3, cost, time.Second)
	if !admitted(a) || !admitted(b) {
		t.Fatal("free slots were not used")
	}
	if _, why := offer(l, 3, cost, 20*time.Millisecond); why != reason.QueueDeadline {
		t.Errorf("a request that must start within 20 ms behind 50 ms of work: %q", why)
	}
	c, why := offer(l, 3, cost, 300*time.Millisecond)
	if why != "" || admitted(c) {
		t.Errorf("a request that can wait: refused %q", why)
	}
	urgent, _ := offer(l, 0, cost, 300*time.Millisecond)
	l.Finish(start.Add(50*time.Millisecond), a)
	if !admitted(urgent) || admitted(c) {
		t.Error("the more urgent request did not go first")
	}
	l.Finish(start.Add(400*time.Millisecond), b)
	if why := <-c.decided; why != reason.QueueDeadline {
		t.Errorf("a request whose time has passed: %q, want a refusal", why)
	}
	if running, waiting, _ := l.Load(); running != 1 || waiting != 0 {
		t.Errorf("%d running, %d waiting", running, waiting)
	}
}

// Guards against a server that has stopped answering and still attracts a line.
func TestLineBehindSilentServer(t *testing.T) {
	l := NewQueue(1)
	j := NewJob(1, 50*time.Millisecond, start.Add(time.Second))
	l.Offer(start, j)
	later := start.Add(800 * time.Millisecond)
	next := NewJob(1, 50*time.Millisecond, later.Add(200*time.Millisecond))
	if why, after := l.Offer(later, next); why != reason.QueueDeadline || after < minRetryAfter || after > maxRetryAfter {
		t.Errorf("refusal %q, come back after %s", why, after)
	}
}

// overload is a load above the capacity of a server, replayed against a line.
type overload struct {
	name   string
	factor float64 // offered load as a share of the capacity
}

// replayOverload returns the shares of requests that are on time and late. With
// patient, every request may wait until its deadline, as a line in order of
// arrival does.
func replayOverload(o overload, patient bool) (onTime, late float64) {
	const (
		slots    = 9
		cost     = 120 * time.Millisecond
		target   = 400 * time.Millisecond
		deadline = 2500 * time.Millisecond
		requests = 20000
		spread   = 0.8 // sigma of the log-normal work of the deployments
	)
	rnd := rand.New(rand.NewPCG(1, 1))
	l := NewQueue(slots)
	gap := time.Duration(float64(cost) / slots / o.factor)
	type started struct {
		job      *Job
		arrived  time.Time
		finishes time.Time
	}
	var running []started
	waiting := map[*Job]time.Time{}
	collect := func(now time.Time) {
		for j, arrived := range waiting {
			select {
			case why := <-j.decided:
				delete(waiting, j)
				if why == "" {
					work := time.Duration(float64(cost) * math.Exp(spread*rnd.NormFloat64()-spread*spread/2))
					running = append(running, started{j, arrived, now.Add(work)})
				}
			default:
			}
		}
	}
	good, slow := 0, 0
	for i := range requests {
		now := start.Add(time.Duration(i) * gap)
		for {
			next := -1
			for k := range running {
				if !running[k].finishes.After(now) && (next < 0 || running[k].finishes.Before(running[next].finishes)) {
					next = k
				}
			}
			if next < 0 {
				break
			}
			done := running[next]
			running = append(running[:next], running[next+1:]...)
			if done.finishes.Sub(done.arrived) <= target {
				good++
			} else {
				slow++
			}
			l.Finish(done.finishes, done.job)
			collect(done.finishes)
		}
		req := &call.Request{SoftDeadline: now.Add(target), Deadline: now.Add(deadline), Nested: patient}
		j := NewJob(1, cost, latestStart(now, req, cost))
		if why, _ := l.Offer(now, j); why == "" {
			waiting[j] = now
			collect(now)
		}
	}
	return float64(good) / requests, float64(slow) / requests
}

// Guards against a line that serves everybody late when load exceeds capacity.
// The baseline waits until the deadline, in the same run.
func TestReplayOverload(t *testing.T) {
	for _, o := range []overload{{"a tenth too much", 1.1}, {"half too much", 1.5}, {"three times too much", 3}} {
		onTime, late := replayOverload(o, false)
		baseOnTime, baseLate := replayOverload(o, true)
		t.Logf("%-22s on time %.3f, late %.3f; waiting until the deadline: %.3f, %.3f", o.name, onTime, late, baseOnTime, baseLate)
		possible := 1 / o.factor
		if onTime < 0.9*possible {
			t.Errorf("%s: %.3f on time of %.3f possible", o.name, onTime, possible)
		}
		if late > onTime/10 {
			t.Errorf("%s: %.3f late beside %.3f on time", o.name, late, onTime)
		}
		if onTime < baseOnTime {
			t.Errorf("%s: %.3f on time, %.3f with a line that waits until the deadline", o.name, onTime, baseOnTime)
		}
	}
}
