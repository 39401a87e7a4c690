package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/operator"
)

// progressInterval is how often apply --wait queries which nodes have the revision in force.
const progressInterval = 200 * time.Millisecond

// applyFlags are the flags of the apply command.
type applyFlags struct {
	file, operationID string
	base              int64
	wait              bool
}

// baseNewest selects the newest accepted section as the base of an edit.
const baseNewest = -1

func newApplyCommand(c *connection) *cobra.Command {
	f := &applyFlags{}
	cmd := &cobra.Command{
		Use: "apply -f FILE", Short: "Replace your section with the one in a file", Args: noArgs,
		Long: "Replace your section with the one in a file. With --base the edit is rejected if the\n" +
			"section has changed since that revision; without it the newest revision is read first.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			section, err := readSection(f.file)
			if err != nil {
				return err
			}
			return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
				return c.apply(ctx, cmd, client, section, f)
			})
		},
	}
	cmd.Flags().StringVarP(&f.file, "file", "f", "", "section as JSON")
	cmd.Flags().StringVar(&f.operationID, "operation", "", "operation id of an earlier attempt at the same edit")
	cmd.Flags().Int64Var(&f.base, "base", baseNewest, "section revision that the edit is based on; 0 creates the section")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the revision is in force on every node")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func (c *connection) apply(ctx context.Context, cmd *cobra.Command, client *operator.Client, section config.Section, f *applyFlags) error {
	base, err := baseRevision(ctx, client, section.Name, f.base)
	if err != nil {
		return err
	}
	id := f.operationID
	if id == "" {
		id = newOperationID()
	}
	start := time.Now()
	response, err := client.Edit(ctx, operator.Edit{OperationID: id, BaseRevision: base, Section: section})
	if err != nil {
		return err
	}
	t := table{header: []string{"OPERATION", "REVISION", "SECTION REVISION", "HELD BY"}}
	t.add(response.OperationID, response.Revision, response.SectionRevision, len(response.AckedBy))
	if err := c.write(cmd.OutOrStdout(), response, t); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	return waitInForce(ctx, client, response.Revision, start, cmd.ErrOrStderr())
}

func baseRevision(ctx context.Context, client *operator.Client, section string, base int64) (uint64, error) {
	if base != baseNewest {
		return uint64(max(base, 0)), nil
	}
	current, err := client.Section(ctx, section)
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Kind == operator.KindNotFound {
		return 0, nil
	}
	return current.SectionRevision, err
}

// waitInForce polls the node and prints progress until every live node has the revision in
// force. It returns an error when ctx ends first.
func waitInForce(ctx context.Context, client *operator.Client, revision uint64, start time.Time, progress io.Writer) error {
	last := ""
	for {
		nodes, err := client.Nodes(ctx)
		if err != nil {
			return err
		}
		inForce, live := countInForce(nodes, revision)
		line := fmt.Sprintf("revision %d is in force on %d of %d nodes", revision, inForce, live)
		if line != last {
			fmt.Fprintf(progress, "%s after %d ms\n", line, time.Since(start).Milliseconds())
			last = line
		}
		if inForce == live && live > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &operator.Problem{Kind: operator.KindUnavailable, Message: line + " when the timeout expired",
				Remedy: "run corianderctl nodes to see which nodes lack the revision; the edit remains accepted"}
		case <-time.After(progressInterval):
		}
	}
}

func countInForce(nodes []operator.NodeSummary, revision uint64) (inForce, live int) {
	for _, n := range nodes {
		if n.State == "dead" || n.State == "leaving" {
			continue
		}
		live++
		if n.InForce >= revision {
			inForce++
		}
	}
	return inForce, live
}

func readSection(path string) (config.Section, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Section{}, usageError{fmt.Errorf("read the section file: %w", err)}
	}
	section, err := config.ParseSection(data)
	if err != nil {
		return section, &operator.Problem{Kind: operator.KindInvalid, Message: err.Error()}
	}
	return section, nil
}

func newOperationID() string {
	const idBytes = 16
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // documented to never return an error
	return hex.EncodeToString(id)
}
