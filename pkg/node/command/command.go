// Package command implements the command line of the corianderwood binary.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/cli"
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
	root.AddCommand(sidecar.New())
	root.AddCommand(ownInterface(&path)...)
	return root
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
