package ctl

import "github.com/spf13/cobra"

// exactArgs is cobra.ExactArgs with an error that results in ExitUsage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

func noArgs(cmd *cobra.Command, args []string) error {
	return exactArgs(0)(cmd, args)
}
