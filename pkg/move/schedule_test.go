package move

import (
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// envSeed returns the seed of the randomized tests: SEED from the environment, or 1.
func envSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return seed
	}
	return 1
}

// TestMain sets rapid's seed from SEED, so that failures can be reproduced.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(strconv.FormatUint(envSeed(), 10))
	}
	os.Exit(m.Run())
}

const simulationSteps = int(simulationEnd / simulationStep)

func drawFaults(t *rapid.T, kinds ...faultKind) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		f := fault{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			from:  rapid.IntRange(0, simulationSteps-40).Draw(t, "from"),
			lasts: rapid.IntRange(1, simulationSteps).Draw(t, "lasts"),
			node:  rapid.IntRange(0, 2).Draw(t, "node"),
		}
		if f.kind == platformDown || f.kind == loseResponses {
			f.node = 0
		}
		return f
	}), 0, 8).Draw(t, "faults")
}

// checkSimulation applies all checkers to the history.
func checkSimulation(w *simulation) error {
	var live []string
	for _, n := range w.nodes {
		live = append(live, n.name())
	}
	return errors.Join(
		w.err,
		checkOneOutcome(w.history),
		checkFollowsRecord(w.history, live),
		checkNoTrafficAfterRollback(w.history),
		checkStageNeverFalls(w.history),
		checkNoDoneAfterRollback(w.history),
	)
}

// TestProofRandomSchedules guards against a second outcome, a node that ignores the
// record, traffic after a rollback and a falling stage, under pauses, partitions,
// restarts, outages, lost responses, edits and bad versions.
func TestProofRandomSchedules(t *testing.T) {
	all := make([]faultKind, faultKinds)
	for i := range all {
		all[i] = faultKind(i)
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), drawFaults(t, all...))
		w.run()
		if err := checkSimulation(w); err != nil {
			t.Fatal(err)
		}
	})
}

// TestProofGoodVersionFinishes guards against a good version that is rolled back or
// misses its deadline because of pauses, restarts, outages or edits of the deadline.
// The share must reach 1 even if the platform is unavailable until the end.
func TestProofGoodVersionFinishes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := drawFaults(t, pauseNode, platformDown, loseResponses, restartNode, restartAll, earlierDeadline, laterDeadline)
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), faults)
		w.run()
		if err := checkSimulation(w); err != nil {
			t.Fatal(err)
		}
		for _, e := range w.history {
			late := e.at.After(e.finishBy.Add(simulationStep))
			if e.kind == shareObserved && late && e.share != 1 && !e.awaitingState {
				t.Fatalf("%s routes a share of %g at %v, after the deadline %v", e.node, e.share, e.at, e.finishBy)
			}
			if e.kind == rowObserved && e.result != ResultDone {
				t.Fatalf("a good version got outcome %s", e.result)
			}
		}
	})
}
