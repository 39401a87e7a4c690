package bench

import (
	"context"
	"os"
	"slices"
	"strconv"

	"golang.org/x/sync/errgroup"
)

// policyWorkers limits the number of simulations that run concurrently.
const policyWorkers = 4

// policyTask is one independent simulation.
type policyTask struct {
	// comparison marks a task whose rows have no bounds and only serve for comparison.
	comparison bool
	run        func() []Row
}

// PolicySuite measures the balancer, the limits and the retry policy. It runs the
// product's decision code in virtual time; the seed is taken from the environment
// variable SEED (default 1).
func PolicySuite() Suite {
	return Suite{Name: "policy", Run: func(ctx context.Context) ([]Row, error) {
		return runPolicyTasks(ctx, policyTasks(policySeed()))
	}}
}

func policyTasks(seed uint64) []policyTask {
	return slices.Concat(
		policyOverload(seed),
		policySpill(seed),
		policyRetries(seed),
		policyBudget(seed),
		policyColdStart(seed),
		policyHealth(seed),
	)
}

// runPolicyTasks runs the tasks concurrently and returns their rows in the order of the
// tasks.
func runPolicyTasks(ctx context.Context, tasks []policyTask) ([]Row, error) {
	results := make([][]Row, len(tasks))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(policyWorkers)
	for i, task := range tasks {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = task.run()
			return nil
		})
	}
	err := group.Wait()
	return slices.Concat(results...), err
}

// policySeed returns SEED, or 1 if it is unset or not a number.
func policySeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}
