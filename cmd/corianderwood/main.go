// Command corianderwood runs a node of the mesh as the sidecar of an upstream instance.
package main

import (
	"os"

	"corianderwood.example/corianderwood/pkg/node/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
