//go:build sidecar_only

package command

import "github.com/spf13/cobra"

// ownInterface returns no commands. Programs built with the tag sidecar_only leave out the
// QUIC, TLS and AWS libraries, whose initialization takes memory in every process.
func ownInterface(*string) []*cobra.Command { return nil }
