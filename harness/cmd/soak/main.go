// Command soak runs real node processes under random schedules of faults, one schedule
// for each seed. It exits with status 1 if a guarantee is violated or a run cannot start.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"corianderwood.example/corianderwood/harness/soak"
)

func main() {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds")
	nodes := flag.Int("nodes", 6, "number of nodes")
	duration := flag.Duration("length", 20*time.Second, "time during which faults are injected, for each seed")
	binary := flag.String("binary", "bin/corianderwood", "path of the node's executable")
	flag.Parse()
	failed := false
	for n := *seed; n < *seed+*seeds; n++ {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		r, err := soak.Run(context.Background(), soak.Options{Seed: n, Nodes: *nodes, Duration: *duration, Binary: *binary, Dir: dir})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %d faults, %v, broken %d\n", n, len(r.Faults), r.Counts, len(r.Violations))
		if len(r.Violations) == 0 {
			_ = os.RemoveAll(dir) // the logs of a failed seed are kept
			continue
		}
		failed = true
		for _, line := range append(r.Faults, r.Violations...) {
			fmt.Println("  " + line)
		}
		fmt.Println("  logs:", dir)
	}
	if failed {
		os.Exit(1)
	}
}
