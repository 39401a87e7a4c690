// Command corianderctl is the command-line tool for operators of a mesh.
package main

import (
	"os"

	"corianderwood.example/corianderwood/pkg/ctl"
)

func main() {
	os.Exit(ctl.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
