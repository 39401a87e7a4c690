package ctl

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/keys"
)

func newKeysCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{Use: "keys", Short: "Create certificates of the authority, of nodes and of operators"}
	cmd.PersistentFlags().StringVar(&dir, "dir", ".", "directory of the key files")
	cmd.AddCommand(newAuthorityCommand(&dir), newNodeKeyCommand(&dir), newOperatorKeyCommand(&dir))
	return cmd
}

func newAuthorityCommand(dir *string) *cobra.Command {
	return &cobra.Command{
		Use: "authority", Short: "Create ca.pem and ca-key.pem", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			const privateDirectory = 0o700
			if err := os.MkdirAll(*dir, privateDirectory); err != nil {
				return err
			}
			authority, err := keys.NewAuthority(time.Now())
			if err != nil {
				return err
			}
			return authority.Write(*dir)
		},
	}
}

func newNodeKeyCommand(dir *string) *cobra.Command {
	var addresses []net.IP
	cmd := &cobra.Command{
		Use: "node INSTANCE", Short: "Create the certificate of a node", Args: exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			authority, err := keys.LoadAuthority(*dir)
			if err != nil {
				return err
			}
			pair, err := authority.NewNode(time.Now(), args[0], addresses)
			if err != nil {
				return err
			}
			return pair.Write(*dir, args[0])
		},
	}
	cmd.Flags().IPSliceVar(&addresses, "ip", nil, "IP addresses of the instance")
	return cmd
}

func newOperatorKeyCommand(dir *string) *cobra.Command {
	var team string
	cmd := &cobra.Command{
		Use: "operator NAME --team TEAM", Short: "Create the certificate of an operator", Args: exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if team == "" {
				return usageError{fmt.Errorf("--team is missing; name the operator's team")}
			}
			authority, err := keys.LoadAuthority(*dir)
			if err != nil {
				return err
			}
			pair, err := authority.NewOperator(time.Now(), args[0], team)
			if err != nil {
				return err
			}
			return pair.Write(*dir, args[0])
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "team of the operator; the team admin may create sections")
	return cmd
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
