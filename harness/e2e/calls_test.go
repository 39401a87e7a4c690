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

// startLoad sends calls to the given nodes for the given duration, half of them POST. The
// channel delivers the report when the load has ended.
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

// slowUpstreams raises the latency of all upstreams so that injected faults affect calls in
// progress.
func (c *cluster) slowUpstreams() {
	const latencyMS = 100
	for _, u := range c.upstreams {
		u.SetBehavior(fake.Behavior{LatencyMS: latencyMS})
	}
}

// executions returns the number of executions of each request id over all upstreams.
func (c *cluster) executions() map[string]int {
	total := map[string]int{}
	for _, u := range c.upstreams {
		for id, n := range u.Executions() {
			total[id] += n
		}
	}
	return total
}

// checkCalls checks that each response with status 200 is complete and belongs to its
// request, that each POST request was executed at most once, and exactly once if it got
// status 200, and that those reported as not executed (Ran is "no") were not executed.
func (c *cluster) checkCalls(report *load.Report) {
	c.t.Helper()
	if report.Wrong > 0 {
		c.t.Errorf("%d responses are truncated or belong to other requests", report.Wrong)
	}
	ran := c.executions()
	unknown := 0
	for id, outcome := range report.Outcomes {
		switch n := ran[id]; {
		case n > 1:
			c.t.Errorf("request %s was executed %d times, want at most 1", id, n)
		case outcome.Ran == "no" && n > 0:
			c.t.Errorf("request %s was reported as not executed but was executed", id)
		case outcome.Status == http.StatusOK && n != 1:
			c.t.Errorf("request %s got status 200 but was executed %d times, want 1", id, n)
		case outcome.Ran != "no" && outcome.Ran != "yes":
			unknown++
		}
	}
	c.t.Logf("%d requests, statuses %v, refused %v, executed %v, errors %d; %d of %d POST requests have an unknown outcome",
		report.Requests, report.Statuses, report.Refused, report.Ran, report.Errors, unknown, len(report.Outcomes))
}

// Guards against a POST request that is executed twice, or is reported as not executed
// although it was, and against responses to other requests, while nodes are killed, paused
// and restarted under load.
func TestProofAtMostOnceUnderKillsAndPauses(t *testing.T) {
	c := startCluster(t, defaultShape())
	c.slowUpstreams()
	const ingress, otherIngress, paused = 2, 5, 4
	killed := []int{0, 1, 3}
	done := c.startLoad(14*time.Second, ingress, otherIngress)
	for _, i := range killed {
		time.Sleep(time.Second)
		c.kill(i)
		time.Sleep(500 * time.Millisecond)
		c.startNode(i)
		time.Sleep(time.Second)
	}
	c.sendSignal(paused, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	c.sendSignal(paused, syscall.SIGCONT)
	time.Sleep(time.Second)
	c.kill(paused)
	c.startNode(paused)
	report := <-done
	c.checkCalls(report)
	if ok := report.Statuses[http.StatusOK]; ok < report.Requests*9/10 {
		t.Errorf("%d of %d requests got status 200, want at least nine tenths", ok, report.Requests)
	}
}

// Guards against a graceful shutdown (SIGTERM) of a node that aborts requests in progress.
func TestProofPlannedStopOfNode(t *testing.T) {
	c := startCluster(t, defaultShape())
	c.slowUpstreams()
	const stopped = 1
	done := c.startLoad(6*time.Second, c.nodesExcept(stopped)...)
	time.Sleep(time.Second)
	c.sendSignal(stopped, syscall.SIGTERM)
	if err := c.nodes[stopped].cmd.Wait(); err != nil {
		t.Errorf("the node stopped by SIGTERM exited with error %v", err)
	}
	report := <-done
	c.checkCalls(report)
	if bad := report.Requests - report.Statuses[http.StatusOK]; bad > 0 {
		t.Errorf("%d of %d requests did not get status 200 during a graceful shutdown", bad, report.Requests)
	}
}

// Guards against requests that are still sent to a draining upstream 3 s after its drain,
// and against requests in progress that the drain aborts.
func TestProofDrainingUpstreamGetsNoRequests(t *testing.T) {
	c := startCluster(t, defaultShape())
	const draining = 2
	done := c.startLoad(10*time.Second, c.nodesExcept()...)
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	// The announcer keeps sending heartbeats, which must not end the drain.
	if err := c.upstreams[draining].announcer.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	before := len(c.upstreams[draining].Executions())
	report := <-done
	if after := len(c.upstreams[draining].Executions()); after != before {
		t.Errorf("the draining upstream got %d requests later than 3 s after its drain", after-before)
	}
	c.checkCalls(report)
	if bad := report.Requests - report.Statuses[http.StatusOK]; bad > 0 {
		t.Errorf("%d of %d requests did not get status 200 during a drain", bad, report.Requests)
	}
}

// Guards against calls that fail while the platform is unavailable.
func TestProofCallsGoOnWithoutPlatform(t *testing.T) {
	c := startCluster(t, defaultShape())
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownHang})
	// Longer than the interval at which nodes read the platform.
	report := <-c.startLoad(10*time.Second, c.nodesExcept()...)
	c.checkCalls(report)
	if bad := report.Requests - report.Statuses[http.StatusOK]; bad > 0 {
		t.Errorf("%d of %d requests did not get status 200 during an outage of the platform", bad, report.Requests)
	}
}
