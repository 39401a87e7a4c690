package e2e

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/pkg/operator"
)

// Guards against an accepted revision that is lost, or not in force in time, when the
// platform goes down and the accepting node crashes right after its response.
func TestProofAcceptedRevisionSurvivesOutageAndCrash(t *testing.T) {
	c := startCluster(t, defaultShape())
	const accepting = 4
	response := c.edit(c.team[accepting], withChangedSlowMS(c.mesh.Shape.Section(), 1))
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownHang})
	c.kill(accepting)
	if len(response.AckedBy) < 2 {
		t.Errorf("the edit was acknowledged by peers %v, want peers in two failure domains", response.AckedBy)
	}
	elapsed := c.waitRevision(convergenceTimeout, response.Revision, c.nodesExcept(accepting)...)
	t.Logf("revision %d in force on %d nodes after %v", response.Revision, len(c.nodes)-1, elapsed)
}

// Guards against a restarted instance that serves an older revision than before its
// restart, taken from a lagging peer while the platform is down.
func TestProofRestartNeverServesOlderRevision(t *testing.T) {
	c := startCluster(t, defaultShape())
	const restarted, lagging = 1, 3
	c.sendSignal(lagging, syscall.SIGSTOP)
	response := c.edit(c.team[0], withChangedSlowMS(c.mesh.Shape.Section(), 1))
	c.waitRevision(convergenceTimeout, response.Revision, c.nodesExcept(lagging)...)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	c.kill(restarted)
	c.sendSignal(lagging, syscall.SIGCONT)
	c.startNode(restarted)
	limit := time.Now().Add(convergenceTimeout)
	for {
		status, err := c.status(restarted)
		if err == nil && status.Revision != 0 && status.Revision < response.Revision {
			t.Fatalf("the restarted instance serves revision %d, want at least %d", status.Revision, response.Revision)
		}
		if err == nil && status.Ready {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("the restarted instance is not ready after %v: %+v %v", convergenceTimeout, status, err)
		}
		time.Sleep(pollInterval)
	}
}

// Guards against a minimum revision taken from a lagging peer. With the platform down and
// all other peers dead, no reachable node knows that a later revision was in force, so the
// restarted instance must not serve any.
func TestProofLaggingPeerGivesNoMinRevision(t *testing.T) {
	c := startCluster(t, defaultShape())
	const restarted, lagging = 1, 3
	c.sendSignal(lagging, syscall.SIGSTOP)
	response := c.edit(c.team[0], withChangedSlowMS(c.mesh.Shape.Section(), 1))
	c.waitRevision(convergenceTimeout, response.Revision, c.nodesExcept(lagging)...)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	for _, i := range c.nodesExcept(lagging) {
		c.kill(i)
	}
	c.sendSignal(lagging, syscall.SIGCONT)
	c.startNode(restarted)
	// Longer than the lagging peer takes to declare the other nodes dead.
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(pollInterval) {
		if status, err := c.status(restarted); err == nil && (status.Ready || status.Revision != 0) {
			t.Fatalf("after %v the restarted instance serves revision %d, want none, as revision %d was in force", time.Since(begin), status.Revision, response.Revision)
		}
	}
	c.platform.SetFaults(fake.PlatformFaults{})
	c.waitRevision(convergenceTimeout, response.Revision, restarted)
}

// Guards against nodes that do not converge on the current revision when all nodes of a
// failure domain crash and restart at the same time.
func TestProofFailureDomainRestarts(t *testing.T) {
	c := startCluster(t, defaultShape())
	var restarted []int
	for i, instance := range c.mesh.Instances {
		if instance.Domain == c.mesh.Shape.Domains[0] {
			restarted = append(restarted, i)
		}
	}
	for _, i := range restarted {
		c.kill(i)
	}
	response := c.edit(c.team[c.nodesExcept(restarted...)[0]], withChangedSlowMS(c.mesh.Shape.Section(), 1))
	for _, i := range restarted {
		c.startNode(i)
	}
	elapsed := c.waitRevision(convergenceTimeout, response.Revision, c.nodesExcept()...)
	c.waitReady()
	t.Logf("%d restarted nodes had revision %d in force after %v", len(restarted), response.Revision, elapsed)
}

// Guards against two accepted edits based on the same section revision, and against an
// edit that is applied twice or reported with a wrong outcome when the platform drops
// responses. Four operators edit one section at the same time.
func TestProofConcurrentEditsOfOneSection(t *testing.T) {
	c := startCluster(t, defaultShape())
	const editors, rounds = 4, 3
	section := c.mesh.Shape.Section()
	for round := range rounds {
		c.platform.SetFaults(fake.PlatformFaults{DropResponses: round})
		before, err := c.team[0].Section(t.Context(), section.Name)
		if err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		responses, errs := make([]operator.EditResponse, editors), make([]error, editors)
		for r := range editors {
			group.Go(func() {
				responses[r], errs[r] = c.team[r].Edit(t.Context(), operator.Edit{
					OperationID:  fmt.Sprintf("race-%d-%d", round, r),
					BaseRevision: before.SectionRevision,
					Section:      withChangedSlowMS(section, 10*round+r+1),
				})
			})
		}
		group.Wait()
		accepted := 0
		for r := range editors {
			var problem *operator.Problem
			switch {
			case errs[r] == nil:
				accepted++
				if responses[r].SectionRevision != before.SectionRevision+1 {
					t.Errorf("round %d: accepted as section revision %d, want %d", round, responses[r].SectionRevision, before.SectionRevision+1)
				}
			case errors.As(errs[r], &problem) && problem.Kind == operator.KindConflict:
			default:
				t.Errorf("round %d: editor %d got error %v, want a conflict", round, r, errs[r])
			}
		}
		if accepted != 1 {
			t.Errorf("round %d: %d edits were accepted, want 1", round, accepted)
		}
	}
}
