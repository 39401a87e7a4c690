package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/keys"
	"corianderwood.example/corianderwood/pkg/operator"
)

// connection holds the values of the global flags.
type connection struct {
	address, ca, certificate, key, output string
	timeout                               time.Duration
}

func (c *connection) client() (*operator.Client, error) {
	if err := c.checkOutput(); err != nil {
		return nil, err
	}
	reloader, err := keys.NewReloader(keys.Files{CA: c.ca, Certificate: c.certificate, Key: c.key})
	if err != nil {
		return nil, err
	}
	return operator.NewClient(c.address, reloader.OperatorClient()), nil
}

// checkOutput returns an error if the --output flag has no valid value.
func (c *connection) checkOutput() error {
	if c.output != outputJSON && c.output != outputTable {
		return usageError{fmt.Errorf("--output %q is not supported; use json or table", c.output)}
	}
	return nil
}

// run calls f with a client of the node and a context that ends after c.timeout.
func (c *connection) run(cmd *cobra.Command, f func(ctx context.Context, client *operator.Client) error) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return f(ctx, client)
}
