package ctl

import (
	"context"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/operator"
)

func newOperationCommand(c *connection) *cobra.Command {
	return &cobra.Command{
		Use: "operation ID", Short: "Show the result of an earlier edit", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd, func(ctx context.Context, client *operator.Client) error {
				response, err := client.Operation(ctx, args[0])
				if err != nil {
					return err
				}
				t := table{header: []string{"OPERATION", "REVISION", "SECTION REVISION", "HASH"}}
				t.add(response.OperationID, response.Revision, response.SectionRevision, shortHash(response.Hash))
				return c.write(cmd.OutOrStdout(), response, t)
			})
		},
	}
}
