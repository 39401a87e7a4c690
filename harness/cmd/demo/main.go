// Command demo generates the files of the demonstration meshes (demo generate DIR) and
// drives the meshes, whose processes must be running (demo run DIR).
package main

import (
	"context"
	"fmt"
	"os"

	"corianderwood.example/corianderwood/harness/demo"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	const usage = "usage: demo generate DIR | demo run DIR"
	if len(args) != 2 {
		return fmt.Errorf("%s", usage)
	}
	switch args[0] {
	case "generate":
		return demo.Generate(args[1])
	case "run":
		return demo.Run(context.Background(), args[1], os.Stdout)
	default:
		return fmt.Errorf("%s", usage)
	}
}
