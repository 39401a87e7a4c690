package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// nodeBinary is the path of the node binary that TestMain builds for all tests.
var nodeBinary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	nodeBinary = filepath.Join(dir, "corianderwood")
	build := exec.Command("go", "build", "-o", nodeBinary, "corianderwood.example/corianderwood/cmd/corianderwood")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build node binary:", err)
		return 1
	}
	return m.Run()
}
