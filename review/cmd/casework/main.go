// Casework plays one case of the review: casework CASE FOLDER, in the repository's root.
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"corianderwood.example/review/internal/mesh"
)

// Exit codes.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// finding is the result of a case: the rule's name and what broke it, none if it held.
type finding []string

// cases maps the name of a case to its play.
var cases = map[string]func(p *play) (finding, error){
	"withdrawn": withdrawn,
	"forgotten": forgotten,
	"continue":  continued,
	"reorder":   reorder,
	"scant":     scant,
}

// play is one run of a case.
type play struct {
	trouble bool
	record  *mesh.Record
	closers []func()
}

// onEnd adds what ends something that the play has started.
func (p *play) onEnd(f func()) { p.closers = append(p.closers, f) }

func (p *play) end() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.closers = nil
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casework CASE FOLDER")
		os.Exit(couldntRun)
	}
	record, err := mesh.NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntRun)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", record: record}
	p.onEnd(record.Close)
	type result struct {
		found finding
		err   error
	}
	done := make(chan result, 1)
	go func() {
		found, err := cases[os.Args[1]](p)
		done <- result{found, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case s := <-stop:
		r.err = errors.New(s.String())
	}
	code := held
	switch {
	case r.err != nil:
		record.Printf("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		code = couldntRun
	case len(r.found) > 0:
		for _, line := range r.found {
			record.Printf("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		code = broken
	default:
		record.Printf("the rule held")
		fmt.Println("the rule held")
	}
	p.end()
	os.Exit(code)
}
