//go:build !sidecar_only

package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/cli"
	"corianderwood.example/corianderwood/pkg/node"
	"corianderwood.example/corianderwood/pkg/settings"
)

// ownInterface returns the commands of the product's own interface. path is the settings
// file.
func ownInterface(path *string) []*cobra.Command {
	return []*cobra.Command{
		{
			Use: "run", Short: "Run the node until SIGTERM or SIGINT", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), *path) },
		},
		{
			Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if _, err := settings.Load(*path); err != nil {
					return settingsError{err}
				}
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			},
		},
	}
}

func run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return settingsError{err}
	}
	if err := cli.SetLogVerbosity(s.LogVerbosity); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(s)
	if err != nil {
		return oops.In("node").Wrapf(err, "start the node")
	}
	return n.Run(ctx)
}
