package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"corianderwood.example/review/internal/mesh"
)

// Bounds of the pages for roll-outs.
const (
	rollbackBound = 5 * time.Second
	exposureShare = 0.1
	exposureSlack = 50
	badAnswers    = 50
)

// fleet holds the servers that a case has started.
type fleet struct {
	play    *play
	servers []*mesh.Server
}

func (f *fleet) start(m *mesh.Machine, id, version string, answer func(*http.Request) (int, []byte)) (*mesh.Server, error) {
	s := mesh.NewServer(f.play.record, m, id, version)
	s.Answer = answer
	if err := s.Listen(); err != nil {
		return nil, err
	}
	s.Heartbeats()
	f.servers = append(f.servers, s)
	return s, nil
}

func (f *fleet) close() {
	for _, s := range f.servers {
		s.Close()
	}
}

func (f *fleet) runs() []mesh.Run {
	var out []mesh.Run
	for _, s := range f.servers {
		out = append(out, s.Runs()...)
	}
	return out
}

func good(*http.Request) (int, []byte) {
	time.Sleep(38 * time.Millisecond)
	return http.StatusOK, []byte("in stock\n")
}

// failing returns the answers of a server that fails every second request whose path begins
// with prefix.
func failing(prefix string) func(*http.Request) (int, []byte) {
	var n atomic.Int64
	return func(r *http.Request) (int, []byte) {
		if strings.HasPrefix(r.URL.Path, prefix) && n.Add(1)%2 == 1 {
			time.Sleep(38 * time.Millisecond)
			return http.StatusInternalServerError, []byte("no\n")
		}
		return good(r)
	}
}

// awaitState waits until the mesh reports the state of the roll-out, and returns when.
func awaitState(d *mesh.Deployment, state string, until time.Time) (time.Time, error) {
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if strings.Contains(string(d.Store.Get("status", "rollout/shop")), state) {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("the roll-out was not reported as %s", state)
}
