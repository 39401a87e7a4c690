// Package command implements the command line of the corianderwood binary.
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/cli"
	"corianderwood.example/corianderwood/pkg/node"
	"corianderwood.example/corianderwood/pkg/settings"
	sidecar "corianderwood.example/corianderwood/pkg/sidecar/command"
)

// Exit codes of corianderwood. ExitSettings is the code of invalid settings of the commands
// run and check; the command sidecar exits with ExitFailed.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Execute runs the corianderwood command line and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "corianderwood: "+cli.ErrorText(err))
	return exitCode(err)
}

func newRoot() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:           "corianderwood",
		Short:         "Run a node of a corianderwood mesh as the sidecar of one upstream instance",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&path, "settings", "corianderwood.json", "settings file (JSON)")
	root.AddCommand(
		sidecar.New(),
		&cobra.Command{
			Use: "run", Short: "Run the node until SIGTERM or SIGINT", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), path) },
		},
		&cobra.Command{
			Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if _, err := settings.Load(path); err != nil {
					return settingsError{err}
				}
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			},
		},
	)
	return root
}

func run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return settingsError{err}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(s)
	if err != nil {
		return oops.In("node").Wrapf(err, "start the node")
	}
	return n.Run(ctx)
}

// settingsError marks an error in the settings, which has its own exit code.
type settingsError struct{ error }

func (e settingsError) Unwrap() error { return e.error }

func exitCode(err error) int {
	if _, ok := err.(settingsError); ok {
		return ExitSettings
	}
	return ExitFailed
}
