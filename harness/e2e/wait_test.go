package e2e

import (
	"context"
	"fmt"
	"time"

	"corianderwood.example/corianderwood/pkg/operator"
)

// waitUntil polls check until it returns "" and returns how long that took. If check does
// not return "" within limit, the test fails with the last result.
func (c *cluster) waitUntil(limit time.Duration, check func() string) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for {
		problem := check()
		if problem == "" {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			c.t.Fatalf("after %v: %s", limit, problem)
		}
		time.Sleep(pollInterval)
	}
}

// waitMembers waits until each node reports want alive members, all with an upstream.
func (c *cluster) waitMembers(want int) {
	c.t.Helper()
	c.waitUntil(startTimeout, func() string {
		for i := range c.nodes {
			nodes, err := c.nodesOf(i)
			if err != nil {
				return err.Error()
			}
			alive, withUpstream := 0, 0
			for _, n := range nodes {
				if n.State == "alive" {
					alive++
				}
				if n.Service != "" {
					withUpstream++
				}
			}
			if alive != want || withUpstream != want {
				return fmt.Sprintf("%s reports %d alive members and %d upstreams, want %d", c.nodes[i].instance.Name, alive, withUpstream, want)
			}
		}
		return ""
	})
}

func (c *cluster) nodesOf(i int) ([]operator.NodeSummary, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.team[i].Nodes(ctx)
}

// waitReady waits until the given nodes, or all nodes if none is given, are ready.
func (c *cluster) waitReady(only ...int) {
	c.t.Helper()
	if len(only) == 0 {
		for i := range c.nodes {
			only = append(only, i)
		}
	}
	c.waitUntil(startTimeout, func() string {
		for _, i := range only {
			status, err := c.status(i)
			if err != nil {
				return err.Error()
			}
			if !status.Ready {
				return fmt.Sprintf("%s is not ready: %s", status.Instance, status.Reason)
			}
		}
		return ""
	})
}

func (c *cluster) status(i int) (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.team[i].Status(ctx)
}

// waitRevision waits until the given nodes have the revision or a later one in force, and
// returns how long that took.
func (c *cluster) waitRevision(limit time.Duration, revision uint64, nodes ...int) time.Duration {
	c.t.Helper()
	return c.waitUntil(limit, func() string {
		for _, i := range nodes {
			status, err := c.status(i)
			if err != nil {
				return err.Error()
			}
			if status.Revision < revision {
				return fmt.Sprintf("%s has revision %d in force, want %d (%s)", status.Instance, status.Revision, revision, status.Reason)
			}
		}
		return ""
	})
}
