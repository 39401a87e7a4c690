// Command meshcase plays a case of the review: the project's nodes as separate processes, with stand-ins
// for the store, the servers and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// repository is the root of the repository, in which the nodes are started.
var repository string

// play is one case, played on nodes in the given zones.
type play struct {
	zones []string
	run   func(m *mesh, trouble bool) (held bool, err error)
}

var cases = map[string]play{
	"twoheartbeats": {[]string{"z-a", "z-b", "z-c"}, twoHeartbeats},
}

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: meshcase CASE REPOSITORY RECORD")
		return exitCouldNotRun
	}
	var err error
	if repository, err = filepath.Abs(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer rec.close()
	m, err := newMesh(rec, cases[os.Args[1]].zones)
	if m != nil {
		defer m.end()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	held, err := cases[os.Args[1]].run(m, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		m.say("the case could not run: %v", err)
		return exitCouldNotRun
	case held:
		return exitHeld
	}
	return exitBroken
}
