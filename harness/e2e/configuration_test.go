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

// Guards against an accepted revision that is lost, or late, when the platform goes
// down and the accepting node dies right after the answer.
func TestProofAcceptedSurvivesOutageAndDeath(t *testing.T) {
	c := start(t, shape())
	const accepting = 4
	answer := c.edit(c.team[accepting], changed(c.mesh.Shape.Section(), 1))
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownHang})
	c.kill(accepting)
	if len(answer.HeldBy) < 2 {
		t.Errorf("the answer names holders %v, want two failure domains", answer.HeldBy)
	}
	elapsed := c.waitRevision(convergenceLimit, answer.Revision, c.except(accepting)...)
	t.Logf("revision %d in force on %d nodes after %v", answer.Revision, len(c.nodes)-1, elapsed)
}

// Guards against a restarted instance that serves an older revision than before,
// while the platform is down and a peer lags behind.
func TestProofRestartNeverGoesBack(t *testing.T) {
	c := start(t, shape())
	const restarted, lagging = 1, 3
	c.signal(lagging, syscall.SIGSTOP)
	answer := c.edit(c.team[0], changed(c.mesh.Shape.Section(), 1))
	c.waitRevision(convergenceLimit, answer.Revision, c.except(lagging)...)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	c.kill(restarted)
	c.signal(lagging, syscall.SIGCONT)
	c.startNode(restarted)
	limit := time.Now().Add(convergenceLimit)
	for {
		status, err := c.status(restarted)
		if err == nil && status.Revision != 0 && status.Revision < answer.Revision {
			t.Fatalf("the restarted instance serves revision %d after %d", status.Revision, answer.Revision)
		}
		if err == nil && status.Ready {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("the restarted instance is not ready after %v: %+v %v", convergenceLimit, status, err)
		}
		time.Sleep(poll)
	}
}

// Guards against a floor taken from a peer that lags: with the platform down and all
// other peers dead, nobody can tell that a higher revision was in force.
func TestProofLaggingPeerGivesNoFloor(t *testing.T) {
	c := start(t, shape())
	const restarted, lagging = 1, 3
	c.signal(lagging, syscall.SIGSTOP)
	answer := c.edit(c.team[0], changed(c.mesh.Shape.Section(), 1))
	c.waitRevision(convergenceLimit, answer.Revision, c.except(lagging)...)
	c.platform.SetFaults(fake.PlatformFaults{Down: fake.DownStatus})
	for _, i := range c.except(lagging) {
		c.kill(i)
	}
	c.signal(lagging, syscall.SIGCONT)
	c.startNode(restarted)
	// Longer than it takes the lagging peer to declare the others dead.
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(poll) {
		if status, err := c.status(restarted); err == nil && (status.Ready || status.Revision != 0) {
			t.Fatalf("after %v the restarted instance serves revision %d, it had %d", time.Since(begin), status.Revision, answer.Revision)
		}
	}
	c.platform.SetFaults(fake.PlatformFaults{})
	c.waitRevision(convergenceLimit, answer.Revision, restarted)
}

// Guards against a herd that does not converge: all nodes of a failure domain die
// and return together.
func TestProofDomainReturns(t *testing.T) {
	c := start(t, shape())
	var herd []int
	for i, instance := range c.mesh.Instances {
		if instance.Domain == c.mesh.Shape.Domains[0] {
			herd = append(herd, i)
		}
	}
	for _, i := range herd {
		c.kill(i)
	}
	answer := c.edit(c.team[c.except(herd...)[0]], changed(c.mesh.Shape.Section(), 1))
	for _, i := range herd {
		c.startNode(i)
	}
	elapsed := c.waitRevision(convergenceLimit, answer.Revision, c.except()...)
	c.waitReady()
	t.Logf("%d returning nodes had revision %d in force after %v", len(herd), answer.Revision, elapsed)
}

// Guards against two operators who both win a race for one section, and against an
// edit that is applied twice or reported wrongly when answers of the platform are lost.
func TestProofOperatorsRace(t *testing.T) {
	c := start(t, shape())
	const racers, rounds = 4, 3
	section := c.mesh.Shape.Section()
	for round := range rounds {
		c.platform.SetFaults(fake.PlatformFaults{DropResponses: round})
		before, err := c.team[0].Section(t.Context(), section.Name)
		if err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		answers, errs := make([]operator.EditResponse, racers), make([]error, racers)
		for r := range racers {
			group.Go(func() {
				answers[r], errs[r] = c.team[r].Edit(t.Context(), operator.Edit{
					OperationID:  fmt.Sprintf("race-%d-%d", round, r),
					BaseRevision: before.SectionRevision,
					Section:      changed(section, 10*round+r+1),
				})
			})
		}
		group.Wait()
		won := 0
		for r := range racers {
			var problem *operator.Problem
			switch {
			case errs[r] == nil:
				won++
				if answers[r].SectionRevision != before.SectionRevision+1 {
					t.Errorf("round %d: accepted as section revision %d, want %d", round, answers[r].SectionRevision, before.SectionRevision+1)
				}
			case errors.As(errs[r], &problem) && problem.Kind == operator.KindConflict:
			default:
				t.Errorf("round %d: racer %d got %v, want a conflict", round, r, errs[r])
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d edits were accepted, want 1", round, won)
		}
	}
}
