package ctl

import (
	"errors"

	"github.com/spf13/cobra"
)

// sidecarFlags holds the values of the flags of all sidecar commands.
type sidecarFlags struct {
	*connection
	nodes []string
}

// newSidecarCommand returns the commands that read the metrics addresses of sidecar nodes. They need
// no key files.
func newSidecarCommand(c *connection) *cobra.Command {
	f := &sidecarFlags{connection: c}
	cmd := &cobra.Command{Use: "sidecar", Short: "Show the state of the nodes of corianderwood sidecar"}
	cmd.PersistentFlags().StringSliceVar(&f.nodes, "node", nil, "metrics address of a node, http://IP:PORT; may be repeated")
	cmd.AddCommand(
		newSidecarStatusCommand(f), newSidecarAccountsCommand(f), newSidecarEvacuationsCommand(f),
		newSidecarColdCommand(f), newSidecarMemoryCommand(f), newSidecarServersCommand(f), newSidecarExplainCommand(f),
	)
	return cmd
}

// addresses returns the addresses that --node names, without repetitions.
func (f *sidecarFlags) addresses() ([]string, error) {
	if len(f.nodes) == 0 {
		return nil, usageError{errors.New("required flag --node is missing; give the metrics address of a node, http://IP:PORT")}
	}
	var out []string
	known := make(map[string]bool)
	for _, text := range f.nodes {
		address, err := parseNodeAddress(text)
		if err != nil {
			return nil, err
		}
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	return out, nil
}
