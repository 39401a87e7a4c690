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

// shapeWithMove returns defaultShape with two additional servers of a new version of
// floodbook, which fail with the given rate.
func shapeWithMove(failure float64) layout.Shape {
	s := defaultShape()
	s.Services[0].NewServers = 2
	s.Services[0].NewFailure = failure
	return s
}

// move returns the record of a move as node i reports it.
func (c *cluster) move(i int, id string) (operator.MoveRecord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.team[i].Move(ctx, id)
}

// waitMove waits until node i reports the move in the given state, and returns its record.
func (c *cluster) waitMove(limit time.Duration, i int, id, state string) operator.MoveRecord {
	c.t.Helper()
	var record operator.MoveRecord
	c.waitUntil(limit, func() string {
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

// newVersionExecutions returns the number of requests executed by upstreams of the new
// version.
func (c *cluster) newVersionExecutions() int {
	executions := 0
	for i, instance := range c.mesh.Instances {
		if instance.Version == layout.VersionNew {
			executions += len(c.upstreams[i].Executions())
		}
	}
	return executions
}

// Guards against a failing version that keeps its traffic while the platform is down, and
// against a rollback that is not recorded after the outage.
func TestProofBadVersionRolledBackInOutage(t *testing.T) {
	const failure = 0.5
	c := startCluster(t, shapeWithMove(failure))
	done := c.startLoad(moveWindow, c.nodesExcept()...)
	section, id := c.mesh.Shape.Move(time.Now().Add(moveWindow))
	c.edit(c.team[0], section)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	c.waitMove(moveWindow, 3, id, operator.MovePendingRecord)
	// The move state reaches all nodes within the convergence goal of 2 s.
	time.Sleep(2 * time.Second)
	before := c.newVersionExecutions()
	time.Sleep(2 * time.Second)
	if after := c.newVersionExecutions(); after != before {
		t.Errorf("the rolled-back version got %d calls later than 2 s after its rollback", after-before)
	}
	c.platform.SetFaults(fake.PlatformFaults{})
	record := c.waitMove(convergenceTimeout, 3, id, operator.MoveRolledBack)
	report := <-done
	c.checkCalls(report)
	t.Logf("rolled back for %s by %s; the new version got %d of %d calls", record.Summary.Reason, record.Decider, before, report.Requests)
}

// Guards against a working version that misses its deadline, or is rolled back, because
// the platform is down for most of the move and a node is killed and restarted.
func TestProofGoodVersionMeetsDeadlineDespiteOutage(t *testing.T) {
	c := startCluster(t, shapeWithMove(0))
	done := c.startLoad(moveWindow, c.nodesExcept(0)...)
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
		t.Errorf("the move was decided as done %v after its deadline", record.DecidedAt.Sub(finishBy))
	}
	for i := range c.nodes {
		got := c.waitMove(convergenceTimeout, i, id, operator.MoveDone)
		if got.Decider != record.Decider || !got.DecidedAt.Equal(record.DecidedAt) {
			t.Errorf("%s reports move record %+v, want %+v", c.nodes[i].instance.Name, got, record)
		}
	}
	c.checkCalls(<-done)
}

// Guards against a withdrawn move that is not rolled back, or whose rollback is not recorded.
func TestProofWithdrawRollsBack(t *testing.T) {
	c := startCluster(t, shapeWithMove(0))
	section, id := c.mesh.Shape.Move(time.Now().Add(time.Minute))
	c.edit(c.team[1], section)
	section.Services[0].Move.Withdraw = true
	c.edit(c.team[2], section)
	record := c.waitMove(convergenceTimeout, 4, id, operator.MoveRolledBack)
	if record.Summary.Reason != "withdrawn" {
		t.Errorf("the reason of the rollback is %q, want withdrawn", record.Summary.Reason)
	}
}
