// Command bench runs the benchmark suites and prints one line per result. The arguments
// are the names of the suites to run; without arguments, all suites run. It exits with
// status 1 if a result is out of its bounds or a suite fails.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"corianderwood.example/corianderwood/harness/bench"
)

var suites = []bench.Suite{
	bench.ConfigSuite(),
	bench.GossipSuite(),
	bench.NodeProcessSuite(),
	bench.CallsSuite(),
	bench.PolicySuite(),
	bench.MovesSuite(),
}

func main() {
	failed := false
	for _, suite := range suites {
		if len(os.Args) > 1 && !slices.Contains(os.Args[1:], suite.Name) {
			continue
		}
		rows, err := suite.Run(context.Background())
		for _, row := range rows {
			fmt.Println(row)
			failed = failed || !row.Pass()
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "suite %s: %v\n", suite.Name, err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}
