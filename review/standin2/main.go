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

var cases = map[string]func(m *mesh, trouble bool) (held bool, err error){
	"departure": departure,
}

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
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
	m, err := newMesh(rec)
	if m != nil {
		defer m.end()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	held, err := cases[os.Args[1]](m, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		m.say("the case could not run: %v", err)
		return exitCouldNotRun
	case held:
		return exitHeld
	}
	return exitBroken
}
