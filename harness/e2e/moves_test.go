package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/harness/layout"
	"corianderwood.example/corianderwood/pkg/operator"
)

// moveWindow is the time from the acceptance of a move to its deadline.
const moveWindow = 20 * time.Second

// movingShape is the small mesh with two servers of a new version of floodbook.
func movingShape(failure float64) layout.Shape {
	s := shape()
	s.Services[0].NewServers = 2
	s.Services[0].NewFailure = failure
	return s
}

func (c *cluster) move(i int, id string) (operator.MoveRecord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.team[i].Move(ctx, id)
}

// waitMove waits until a node reports the move in the state.
func (c *cluster) waitMove(limit time.Duration, i int, id, state string) operator.MoveRecord {
	c.t.Helper()
	var record operator.MoveRecord
	c.eventually(limit, func() string {
		var err error
		if record, err = c.move(i, id); err != nil {
			return err.Error()
		}
		if record.Summary.State != state {
			return fmt.Sprintf("move %s is %s %s at share %g, want %s", id, record.Summary.State, record.Summary.Reason, record.Summary.Share, state)
		}
		return ""
	})
	return record
}

// newVersionRuns counts the runs on upstreams of the new version.
func (c *cluster) newVersionRuns() int {
	runs := 0
	for i, instance := range c.mesh.Instances {
		if instance.Version == layout.VersionNew {
			runs += len(c.upstreams[i].Executions())
		}
	}
	return runs
}

// Guards against a bad version that keeps its traffic while the platform is down, and
// against an outcome that is not recorded after the outage.
func TestProofBadVersionTakenBackInOutage(t *testing.T) {
	const failure = 0.5
	c := start(t, movingShape(failure))
	done := c.startLoad(moveWindow, c.except()...)
	section, id := c.mesh.Shape.Move(time.Now().Add(moveWindow))
	c.edit(c.team[0], section)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	c.waitMove(moveWindow, 3, id, operator.MovePendingRecord)
	// The mark spreads within the convergence aim of 2 s.
	time.Sleep(2 * time.Second)
	before := c.newVersionRuns()
	time.Sleep(2 * time.Second)
	if after := c.newVersionRuns(); after != before {
		t.Errorf("the taken-back version got %d calls after its take-back had spread", after-before)
	}
	c.platform.SetFaults(fake.PlatformFaults{})
	record := c.waitMove(convergenceLimit, 3, id, operator.MoveRolledBack)
	report := <-done
	c.checkCalls(report)
	t.Logf("taken back for %s by %s; the new version got %d of %d calls", record.Summary.Reason, record.Decider, before, report.Requests)
}

// Guards against a good version that misses its deadline, or is taken back, because
// the platform is down for most of the move and a node is killed and restarted.
func TestProofGoodVersionInTimeDespiteOutage(t *testing.T) {
	c := start(t, movingShape(0))
	done := c.startLoad(moveWindow, c.except(0)...)
	finishBy := time.Now().Add(moveWindow)
	section, id := c.mesh.Shape.Move(finishBy)
	c.edit(c.team[1], section)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	time.Sleep(moveWindow / 4)
	c.kill(0)
	c.startNode(0)
	time.Sleep(moveWindow / 2)
	c.platform.SetFaults(fake.PlatformFaults{})
	record := c.waitMove(time.Until(finishBy)+time.Second, 1, id, operator.MoveDone)
	if record.DecidedAt.After(finishBy) {
		t.Errorf("done was decided %v after the deadline", record.DecidedAt.Sub(finishBy))
	}
	for i := range c.nodes {
		got := c.waitMove(convergenceLimit, i, id, operator.MoveDone)
		if got.Decider != record.Decider || !got.DecidedAt.Equal(record.DecidedAt) {
			t.Errorf("%s reports another record: %+v, want %+v", c.nodes[i].instance.Name, got, record)
		}
	}
	c.checkCalls(<-done)
}

// Guards against a withdrawal that has no effect or no record.
func TestProofWithdrawTakesBack(t *testing.T) {
	c := start(t, movingShape(0))
	section, id := c.mesh.Shape.Move(time.Now().Add(time.Minute))
	c.edit(c.team[1], section)
	section.Services[0].Move.Withdraw = true
	c.edit(c.team[2], section)
	record := c.waitMove(convergenceLimit, 4, id, operator.MoveRolledBack)
	if record.Summary.Reason != "withdrawn" {
		t.Errorf("the reason is %q, want withdrawn", record.Summary.Reason)
	}
}
