// Package ctl implements the command line of corianderctl.
package ctl

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/cli"
	"corianderwood.example/corianderwood/pkg/operator"
)

// Exit codes of corianderctl. docs/operators.md lists them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitForbidden   = 4
	ExitConflict    = 5
	ExitNotFound    = 6
	ExitUnavailable = 7
	ExitUnknown     = 8
	ExitUnreachable = 9
)

const defaultTimeout = 30 * time.Second

// Execute runs the corianderctl command line and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	started := false
	root := newRoot()
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "corianderctl: "+cli.ErrorText(err))
	if !started || strings.HasPrefix(err.Error(), "required flag") {
		// The command line was rejected before a command ran.
		return ExitUsage
	}
	return exitCode(err)
}

func newRoot() *cobra.Command {
	c := &connection{}
	root := &cobra.Command{
		Use:           "corianderctl",
		Short:         "Edit and read the configuration of a corianderwood mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&c.address, "address", "127.0.0.1:8083", "address of any node's listener for operators, IP:port")
	flags.StringVar(&c.ca, "ca", "ca.pem", "certificate authority of the mesh (PEM)")
	flags.StringVar(&c.certificate, "cert", "operator.pem", "your certificate (PEM)")
	flags.StringVar(&c.key, "key", "operator-key.pem", "your private key (PEM)")
	flags.StringVarP(&c.output, "output", "o", "table", "output format: json or table")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of the whole command")
	root.AddCommand(
		newSectionCommand(c), newApplyCommand(c), newOperationCommand(c), newMovesCommand(c),
		newNodesCommand(c), newCountersCommand(c), newStatusCommand(c), newKeysCommand(), newSidecarCommand(c),
	)
	return root
}

// usageError marks an invalid command line, which has its own exit code.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return ExitFailed
	}
	codes := map[operator.Kind]int{
		operator.KindInvalid:     ExitInvalid,
		operator.KindForbidden:   ExitForbidden,
		operator.KindConflict:    ExitConflict,
		operator.KindNotFound:    ExitNotFound,
		operator.KindUnavailable: ExitUnavailable,
		operator.KindUnknown:     ExitUnknown,
		operator.KindUnreachable: ExitUnreachable,
	}
	if code, ok := codes[problem.Kind]; ok {
		return code
	}
	return ExitFailed
}
