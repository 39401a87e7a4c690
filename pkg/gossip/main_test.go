package gossip

import (
	"flag"
	"os"
	"testing"
)

// TestMain seeds the random schedules with the environment variable SEED.
func TestMain(m *testing.M) {
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "1"
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", "15") // 40 take over 3 min with the race detector
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	flag.Parse() // flags of the command line take precedence
	os.Exit(m.Run())
}
