package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/operator"
)

// watchInterval is how often moves watch polls the state.
const watchInterval = time.Second

func newMovesCommand(c *connection) *cobra.Command {
	cmd := &cobra.Command{Use: "moves", Short: "Show moves from one version to another"}
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the moves", Args: noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
					moves, err := client.Moves(ctx)
					if err != nil {
						return err
					}
					return c.write(cmd.OutOrStdout(), moves, movesTable(moves))
				})
			},
		},
		&cobra.Command{
			Use: "show ID", Short: "Show the record of a move with its evidence", Args: exactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
					record, err := client.Move(ctx, args[0])
					if err != nil {
						return err
					}
					return c.writeRecord(cmd, record)
				})
			},
		},
		&cobra.Command{
			Use: "watch ID", Short: "Print a line for each change of a move until its outcome is recorded", Args: exactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
					return watchMove(ctx, cmd, client, args[0])
				})
			},
		},
	)
	return cmd
}

func movesTable(moves []operator.MoveSummary) table {
	t := table{header: []string{"MOVE", "SERVICE", "FROM", "TO", "SHARE", "STATE", "FINISH BY", "REASON"}}
	for _, m := range moves {
		t.add(m.ID, m.Service, m.From, m.To, percent(m.Share), m.State, m.FinishBy.Format(time.RFC3339), m.Reason)
	}
	return t
}

func (c *connection) writeRecord(cmd *cobra.Command, record operator.MoveRecord) error {
	if c.output == outputJSON {
		return c.write(cmd.OutOrStdout(), record, table{})
	}
	if err := c.write(cmd.OutOrStdout(), record, movesTable([]operator.MoveSummary{record.Summary})); err != nil {
		return err
	}
	if record.Decider != "" {
		fmt.Fprintf(cmd.OutOrStdout(), "decided by %s at %s\n", record.Decider, record.DecidedAt.Format(time.RFC3339Nano))
	}
	t := table{header: []string{"ROUTE", "OLD CALLS", "FAILED", "SLOW", "NEW CALLS", "FAILED", "SLOW"}}
	for _, r := range record.Routes {
		t.add(r.Route, r.OldCalls, r.OldFailed, r.OldSlow, r.NewCalls, r.NewFailed, r.NewSlow)
	}
	return c.write(cmd.OutOrStdout(), record, t)
}

func watchMove(ctx context.Context, cmd *cobra.Command, client *operator.Client, id string) error {
	last := ""
	for {
		record, err := client.Move(ctx, id)
		if err != nil {
			return err
		}
		s := record.Summary
		line := fmt.Sprintf("%s %s -> %s share %s %s %s", s.Service, s.From, s.To, percent(s.Share), s.State, s.Reason)
		if line != last {
			fmt.Fprintln(cmd.OutOrStdout(), line)
			last = line
		}
		if s.State == operator.MoveDone || s.State == operator.MoveRolledBack {
			return nil
		}
		select {
		case <-ctx.Done():
			return &operator.Problem{Kind: operator.KindUnavailable, Message: "the timeout expired before the outcome was recorded",
				Remedy: "run the command again with a longer --timeout"}
		case <-time.After(watchInterval):
		}
	}
}

func percent(share float64) string {
	const hundred = 100
	return fmt.Sprintf("%.3g%%", share*hundred)
}
