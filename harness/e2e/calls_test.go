package e2e

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/harness/load"
)

// startLoad sends calls to the given nodes for a while, half of them POST.
func (c *cluster) startLoad(duration time.Duration, nodes ...int) <-chan *load.Report {
	c.t.Helper()
	const (
		workers   = 32
		rate      = 150
		postShare = 0.5
		bodyBytes = 2048
	)
	done := make(chan *load.Report, 1)
	go func() {
		report, err := load.Run(context.Background(), load.Options{
			URLs: c.callerURLs(nodes...), Workers: workers, Rate: rate, Duration: duration,
			Paths: []string{"/floods", "/sheets"}, PostShare: postShare,
			RequestBytes: bodyBytes, ResponseBytes: bodyBytes, Timeout: 5 * time.Second, Seed: seed(c.t),
		})
		if err != nil {
			c.t.Error(err)
		}
		done <- report
	}()
	return done
}

// slowUpstreams makes calls last long enough for a fault to hit some of them.
func (c *cluster) slowUpstreams() {
	const latencyMS = 100
	for _, u := range c.upstreams {
		u.SetBehavior(fake.Behavior{LatencyMS: latencyMS})
	}
}

// executions returns how often each request ran, over all upstreams.
func (c *cluster) executions() map[string]int {
	total := map[string]int{}
	for _, u := range c.upstreams {
		for id, n := range u.Executions() {
			total[id] += n
		}
	}
	return total
}

// checkCalls checks every call: whole answers only, at most one run of each POST, and
// a true "not run".
func (c *cluster) checkCalls(report *load.Report) {
	c.t.Helper()
	if report.Wrong > 0 {
		c.t.Errorf("%d answers are not those of their requests", report.Wrong)
	}
	ran := c.executions()
	unknown := 0
	for id, outcome := range report.Outcomes {
		switch n := ran[id]; {
		case n > 1:
			c.t.Errorf("request %s ran %d times", id, n)
		case outcome.Ran == "no" && n > 0:
			c.t.Errorf("request %s was refused as not run, and ran", id)
		case outcome.Status == http.StatusOK && n != 1:
			c.t.Errorf("request %s was answered with 200 and ran %d times", id, n)
		case outcome.Ran != "no" && outcome.Ran != "yes":
			unknown++
		}
	}
	c.t.Logf("%d requests, statuses %v, refused %v, ran %v, errors %d; %d of %d POST requests without a known outcome",
		report.Requests, report.Statuses, report.Refused, report.Ran, report.Errors, unknown, len(report.Outcomes))
}

// Guards against a request that runs twice, a false "not run" and mixed-up answers
// while nodes are killed, paused and restarted under load.
func TestProofAtMostOnceUnderKillsAndPauses(t *testing.T) {
	c := start(t, shape())
	c.slowUpstreams()
	const entrance, otherEntrance, paused = 2, 5, 4
	killed := []int{0, 1, 3}
	done := c.startLoad(14*time.Second, entrance, otherEntrance)
	for _, i := range killed {
		time.Sleep(time.Second)
		c.kill(i)
		time.Sleep(500 * time.Millisecond)
		c.startNode(i)
		time.Sleep(time.Second)
	}
	c.signal(paused, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	c.signal(paused, syscall.SIGCONT)
	time.Sleep(time.Second)
	c.kill(paused)
	c.startNode(paused)
	report := <-done
	c.checkCalls(report)
	if ok := report.Statuses[http.StatusOK]; ok < report.Requests*9/10 {
		t.Errorf("%d of %d requests were answered with 200", ok, report.Requests)
	}
}

// Guards against a planned stop of a node that cuts off requests.
func TestProofPlannedStopOfNode(t *testing.T) {
	c := start(t, shape())
	c.slowUpstreams()
	const stopped = 1
	done := c.startLoad(6*time.Second, c.except(stopped)...)
	time.Sleep(time.Second)
	c.signal(stopped, syscall.SIGTERM)
	if err := c.nodes[stopped].cmd.Wait(); err != nil {
		t.Errorf("the stopped node ended with %v", err)
	}
	report := <-done
	c.checkCalls(report)
	if bad := report.Requests - report.Statuses[http.StatusOK]; bad > 0 {
		t.Errorf("%d of %d requests were not answered with 200 during a planned stop", bad, report.Requests)
	}
}

// Guards against new work for a leaving upstream after 3 s, and against requests
// that its drain cuts off.
func TestProofLeavingUpstreamGetsNoWork(t *testing.T) {
	c := start(t, shape())
	const leaving = 2
	done := c.startLoad(10*time.Second, c.except()...)
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	// Its heartbeats go on, and must not undo the drain.
	if err := c.upstreams[leaving].announcer.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	before := len(c.upstreams[leaving].Executions())
	report := <-done
	if after := len(c.upstreams[leaving].Executions()); after != before {
		t.Errorf("the leaving upstream got %d requests later than 3 s", after-before)
	}
	c.checkCalls(report)
	if bad := report.Requests - report.Statuses[http.StatusOK]; bad > 0 {
		t.Errorf("%d of %d requests were not answered with 200 during a drain", bad, report.Requests)
	}
}

// Guards against calls that depend on the platform.
func TestProofCallsGoOnWithoutPlatform(t *testing.T) {
	c := start(t, shape())
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownHang})
	// Longer than the interval at which nodes read the platform.
	report := <-c.startLoad(10*time.Second, c.except()...)
	c.checkCalls(report)
	if bad := report.Requests - report.Statuses[http.StatusOK]; bad > 0 {
		t.Errorf("%d of %d requests were not answered with 200 during an outage of the platform", bad, report.Requests)
	}
}
