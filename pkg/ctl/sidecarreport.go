package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/operator"
	"corianderwood.example/corianderwood/pkg/status"
)

// unreached is a node without an answer.
type unreached struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// report is the JSON output of the sidecar commands; rows is what the command shows.
type report[T any] struct {
	Rows []T `json:"rows"`
	// Omitted is the number of rows that nodes have left out, by node.
	Omitted    map[string]int `json:"omitted,omitempty"`
	NotReached []unreached    `json:"notReached"`
}

// sidecarView tells what a command shows of the documents of the nodes that were reached.
type sidecarView[T any] struct {
	use, short string
	header     []string
	rows       func(documents []status.Document) []T
	cells      func(row T) []any
	// omitted returns how many entries a node has left out; nil if it lists all.
	omitted func(d status.Document) int
}

// newSidecarView returns the command that shows the view.
func newSidecarView[T any](f *sidecarFlags, v sidecarView[T]) *cobra.Command {
	return &cobra.Command{
		Use: v.use, Short: v.short, Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return v.run(cmd, f) },
	}
}

func (v sidecarView[T]) run(cmd *cobra.Command, f *sidecarFlags) error {
	if err := f.checkOutput(); err != nil {
		return err
	}
	addresses, err := f.addresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	out := report[T]{Omitted: make(map[string]int), NotReached: []unreached{}}
	var documents []status.Document
	for _, answer := range readStatus(ctx, addresses) {
		if answer.err != nil {
			out.NotReached = append(out.NotReached, unreached{answer.address, answer.err.Error()})
			continue
		}
		documents = append(documents, answer.document)
		if v.omitted != nil && v.omitted(answer.document) > 0 {
			out.Omitted[answer.document.Node.Node] = v.omitted(answer.document)
		}
	}
	out.Rows = append([]T{}, v.rows(documents)...)
	if err := f.write(cmd.OutOrStdout(), out, v.table(out)); err != nil {
		return err
	}
	return notReachedError(out.NotReached)
}

// table returns the rows, followed by the nodes that were not reached and by what was left out.
func (v sidecarView[T]) table(out report[T]) table {
	t := table{header: v.header}
	for _, row := range out.Rows {
		t.add(v.cells(row)...)
	}
	for _, n := range out.NotReached {
		t.footer = append(t.footer, fmt.Sprintf("not reached: %s: %s", n.Address, n.Error))
	}
	for _, node := range sortedKeys(out.Omitted) {
		t.footer = append(t.footer, fmt.Sprintf("left out by %s: %d", node, out.Omitted[node]))
	}
	return t
}

func notReachedError(nodes []unreached) error {
	if len(nodes) == 0 {
		return nil
	}
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Address)
	}
	return &operator.Problem{
		Kind: operator.KindUnreachable, Message: "not reached: " + strings.Join(addresses, ", "),
		Remedy: "check the addresses given with --node, or ask other nodes",
	}
}
