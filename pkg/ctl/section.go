package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/operator"
)

func newSectionCommand(c *connection) *cobra.Command {
	cmd := &cobra.Command{Use: "section", Short: "Read the sections of the configuration document"}
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the sections of the newest complete revision", Args: noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd, c.listSections(cmd)) },
		},
		&cobra.Command{
			Use: "get NAME", Short: "Print the newest accepted section as JSON", Args: exactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error { return c.run(cmd, c.getSection(cmd, args[0])) },
		},
		newDiffCommand(c),
	)
	return cmd
}

func (c *connection) listSections(cmd *cobra.Command) func(context.Context, *operator.Client) error {
	return func(ctx context.Context, client *operator.Client) error {
		sections, err := client.Sections(ctx)
		if err != nil {
			return err
		}
		t := table{header: []string{"SECTION", "TEAM", "REVISION", "HASH"}}
		for _, s := range sections {
			t.add(s.Name, s.Team, s.SectionRevision, shortHash(s.Hash))
		}
		return c.write(cmd.OutOrStdout(), sections, t)
	}
}

func (c *connection) getSection(cmd *cobra.Command, name string) func(context.Context, *operator.Client) error {
	return func(ctx context.Context, client *operator.Client) error {
		response, err := client.Section(ctx, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "section revision %d, document revision %d\n", response.SectionRevision, response.Revision)
		text, err := sectionText(response.Section)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), text)
		return err
	}
}

func newDiffCommand(c *connection) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "diff -f FILE", Short: "Compare a section file with the accepted section", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			edited, err := readSection(file)
			if err != nil {
				return err
			}
			return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
				accepted, err := client.Section(ctx, edited.Name)
				if err != nil {
					return err
				}
				return printDiff(cmd, accepted.Section, edited)
			})
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "section as JSON")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func printDiff(cmd *cobra.Command, accepted, edited config.Section) error {
	before, err := sectionText(accepted)
	if err != nil {
		return err
	}
	after, err := sectionText(edited)
	if err != nil {
		return err
	}
	const contextLines = 3
	diff := difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(after),
		FromFile: "accepted", ToFile: "edited", Context: contextLines,
	}
	return difflib.WriteUnifiedDiff(cmd.OutOrStdout(), diff)
}

func sectionText(s config.Section) (string, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	return string(text), err
}

func shortHash(hash string) string {
	const digits = 12
	if len(hash) > digits {
		return hash[:digits]
	}
	return hash
}
