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

func offer(l *Queue, rank int, cost, maxWait time.Duration) (*Job, reason.Refusal) {
	j := NewJob(rank, cost, start.Add(maxWait))
	why, _ := l.Offer(start, j)
	return j, why
}

func admitted(j *Job) bool {
	select {
	case why := <-j.decision:
		return why == ""
	default:
		return false
	}
}

// Guards against running more requests than the server has slots, and against queueing
// a request that cannot be answered on time.
func TestQueueAdmission(t *testing.T) {
	l := NewQueue(2)
	const cost = 100 * time.Millisecond
	a, _ := offer(l, 3, cost, time.Second)
	b, _ := offer(l, 3, cost, time.Second)
	if !admitted(a) || !admitted(b) {
		t.Fatal("jobs did not start although slots were free")
	}
	if _, why := offer(l, 3, cost, 20*time.Millisecond); why != reason.QueueDeadline {
		t.Errorf("offer of a job with 20 ms to start and an expected wait of 50 ms: refusal %q", why)
	}
	c, why := offer(l, 3, cost, 300*time.Millisecond)
	if why != "" || admitted(c) {
		t.Errorf("job that can wait was started or refused: refusal %q", why)
	}
	urgent, _ := offer(l, 0, cost, 300*time.Millisecond)
	l.Finish(start.Add(50*time.Millisecond), a)
	if !admitted(urgent) || admitted(c) {
		t.Error("the job of lower rank did not start first")
	}
	l.Finish(start.Add(400*time.Millisecond), b)
	if why := <-c.decision; why != reason.QueueDeadline {
		t.Errorf("job past its latest start: refusal %q, want a queue-deadline refusal", why)
	}
	if running, waiting, _ := l.Load(); running != 1 || waiting != 0 {
		t.Errorf("%d jobs running, %d waiting, want 1 and 0", running, waiting)
	}
}

// Guards against queueing requests at a server that has stopped responding: the
// estimated wait must grow with the time that the running request has taken.
func TestQueueBehindUnresponsiveServer(t *testing.T) {
	l := NewQueue(1)
	j := NewJob(1, 50*time.Millisecond, start.Add(time.Second))
	l.Offer(start, j)
	later := start.Add(800 * time.Millisecond)
	next := NewJob(1, 50*time.Millisecond, later.Add(200*time.Millisecond))
	if why, after := l.Offer(later, next); why != reason.QueueDeadline || after < minRetryAfter || after > maxRetryAfter {
		t.Errorf("refusal %q, retry after %s", why, after)
	}
}

// overload is an offered load above the capacity of a server.
type overload struct {
	name   string
	factor float64 // offered load relative to the capacity
}

// replayOverload simulates the load and returns the shares of requests that are
// answered on time and late. With untilDeadline, requests wait until their deadline, as
// in a first-in, first-out queue.
func replayOverload(o overload, untilDeadline bool) (onTime, late float64) {
	const (
		slots    = 9
		cost     = 120 * time.Millisecond
		target   = 400 * time.Millisecond
		deadline = 2500 * time.Millisecond
		requests = 20000
		spread   = 0.8 // sigma of the log-normal service times in the deployments
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
			case why := <-j.decision:
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
		req := &call.Request{SoftDeadline: now.Add(target), Deadline: now.Add(deadline), Nested: untilDeadline}
		j := NewJob(1, cost, latestStart(now, req, cost))
		if why, _ := l.Offer(now, j); why == "" {
			waiting[j] = now
			collect(now)
		}
	}
	return float64(good) / requests, float64(slow) / requests
}

// Guards against a queue that answers all requests late when the load exceeds the
// capacity. The baseline, simulated in the same test, lets requests wait until their
// deadline.
func TestReplayOverload(t *testing.T) {
	for _, o := range []overload{{"10% over capacity", 1.1}, {"50% over capacity", 1.5}, {"three times the capacity", 3}} {
		onTime, late := replayOverload(o, false)
		baseOnTime, baseLate := replayOverload(o, true)
		t.Logf("%-22s on time %.3f, late %.3f; waiting until the deadline: %.3f, %.3f", o.name, onTime, late, baseOnTime, baseLate)
		possible := 1 / o.factor
		if onTime < 0.9*possible {
			t.Errorf("%s: %.3f on time of %.3f possible", o.name, onTime, possible)
		}
		if late > onTime/10 {
			t.Errorf("%s: %.3f late, more than a tenth of the %.3f on time", o.name, late, onTime)
		}
		if onTime < baseOnTime {
			t.Errorf("%s: %.3f on time, less than %.3f when requests wait until the deadline", o.name, onTime, baseOnTime)
		}
	}
}
