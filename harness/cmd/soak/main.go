// Command soak plays random schedules of faults on real node processes, one a seed,
// and exits with 1 if one breaks a promise.
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
	length := flag.Duration("length", 20*time.Second, "time with faults for each seed")
	binary := flag.String("binary", "bin/corianderwood", "the node")
	flag.Parse()
	failed := false
	for n := *seed; n < *seed+*seeds; n++ {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		r, err := soak.Run(context.Background(), soak.Options{Seed: n, Nodes: *nodes, Length: *length, Binary: *binary, Dir: dir})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %d faults, %v, broken %d\n", n, len(r.Faults), r.Counts, len(r.Broken))
		if len(r.Broken) == 0 {
			_ = os.RemoveAll(dir) // logs are kept of seeds that fail
			continue
		}
		failed = true
		for _, line := range append(r.Faults, r.Broken...) {
			fmt.Println("  " + line)
		}
		fmt.Println("  logs:", dir)
	}
	if failed {
		os.Exit(1)
	}
}
