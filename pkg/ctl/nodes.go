package ctl

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/operator"
)

func newNodesCommand(c *connection) *cobra.Command {
	return &cobra.Command{
		Use: "nodes", Short: "List the nodes with the revision in force at each", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
				nodes, err := client.Nodes(ctx)
				if err != nil {
					return err
				}
				t := table{header: []string{"INSTANCE", "FAILURE DOMAIN", "STATE", "SERVICE", "VERSION", "IN FORCE"}}
				for _, n := range nodes {
					t.add(n.Instance, n.FailureDomain, n.State, n.Service, n.Version, n.InForce)
				}
				return c.write(cmd.OutOrStdout(), nodes, t)
			})
		},
	}
}

func newCountersCommand(c *connection) *cobra.Command {
	return &cobra.Command{
		Use: "counters", Short: "Show the node's refused requests and retries by reason", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
				counters, err := client.Counters(ctx)
				if err != nil {
					return err
				}
				t := table{header: []string{"COUNTER", "LABELS", "VALUE"}}
				for _, counter := range counters {
					t.add(counter.Name, labelText(counter.Labels), counter.Value)
				}
				return c.write(cmd.OutOrStdout(), counters, t)
			})
		},
	}
}

func newStatusCommand(c *connection) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show whether the node is ready and its revision in force", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
				status, err := client.Status(ctx)
				if err != nil {
					return err
				}
				t := table{header: []string{"INSTANCE", "READY", "REVISION", "REASON"}}
				t.add(status.Instance, status.Ready, status.Revision, status.Reason)
				return c.write(cmd.OutOrStdout(), status, t)
			})
		},
	}
}

func labelText(labels map[string]string) string {
	parts := make([]string, 0, len(labels))
	for _, name := range sortedKeys(labels) {
		parts = append(parts, name+"="+labels[name])
	}
	return strings.Join(parts, ",")
}
