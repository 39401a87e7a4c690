package bench

import (
	"slices"
	"testing"
)

// Guards against a change of the balancer, the limits or the retry policy that misses a
// stated target. Tasks that only serve for comparison are not run.
func TestProofPolicySuite(t *testing.T) {
	tasks := slices.DeleteFunc(policyTasks(policySeed()), func(task policyTask) bool { return task.comparison })
	rows, err := runPolicyTasks(t.Context(), tasks)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		t.Log(row)
		if !row.Pass() {
			t.Errorf("out of bounds: %v", row)
		}
	}
}

// Guards against a faulty model that fails calls without overload, which would make its
// comparisons meaningless: at half the capacity, calls must succeed with and without
// protection.
func TestProofPolicyModel(t *testing.T) {
	for _, o := range []overload{{load: 0.5}, {load: 0.5, noCancellation: true}, {load: 0.5, protected: true}} {
		if got := runOverload(policySeed(), o) / o.load; got < 0.98 {
			t.Errorf("%+v: %.3f of the calls are answered in time", o, got)
		}
	}
}
