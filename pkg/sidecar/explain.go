package sidecar

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/cli"
	"corianderwood.example/corianderwood/pkg/explain"
	"corianderwood.example/corianderwood/pkg/link"
)

// explainHandler answers GET /explain. Explanations are made one at a time, since their work grows with
// the square of a service's servers; mu is held meanwhile.
type explainHandler struct {
	sources explain.Sources
	mu      sync.Mutex
}

func newExplainHandler(n *Node) http.Handler {
	s := n.settings
	return &explainHandler{sources: explain.Sources{
		Instance: s.Node, FailureDomain: s.FailureDomain, Service: s.Service, Dispatcher: n.dispatcher, Admission: n.admission,
		Availability: n.limits.availability, TokenWait: tokenWait, FreshMs: n.freshMs, Memory: n.links.Bodies.Whole(),
		Connections: n.ingress.Connections, Absent: n.absentServers,
	}}
}

// freshMs returns for how many milliseconds the configuration in force stays fresh; -1 if that does not
// matter.
func (n *Node) freshMs() float64 {
	remaining := n.freshness.remaining()
	if remaining < 0 {
		return remaining
	}
	return remaining * float64(time.Second/time.Millisecond)
}

// ServeHTTP implements http.Handler.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := explain.ParseQuestion(r.URL.RawQuery)
	if err != nil {
		http.Error(w, cli.ErrorText(err), http.StatusBadRequest)
		return
	}
	if !h.mu.TryLock() {
		http.Error(w, "another explanation is being made; try again", http.StatusServiceUnavailable)
		return
	}
	defer h.mu.Unlock()
	raw, err := json.Marshal(h.sources.Explain(time.Now(), q))
	if err != nil {
		http.Error(w, "the explanation can't be encoded; report the figures of this node's /metrics", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // the client detects an incomplete answer
}

// exclusionOf returns why a server gets no requests by its reported state; empty if it gets some.
func exclusionOf(s link.ServerState) string {
	switch {
	case !s.Known:
		return explain.ExcludedNoReport
	case s.Draining || s.Stopping:
		return explain.ExcludedDraining
	}
	return ""
}

// absentServers returns the servers that may be of the service and that the selector may lack: those of
// nodes without a link, without a report, and those that are draining.
func (n *Node) absentServers(service string) []explain.Absent {
	var out []explain.Absent
	add := func(name string, s link.ServerState, linked bool) {
		if s.Known && s.Service != service {
			return
		}
		why := exclusionOf(s)
		if why == "" {
			why = explain.ExcludedNoReport // the selector lacks what the last link has reported
		}
		if !linked && why != explain.ExcludedDraining {
			why = explain.ExcludedNotLinked
		}
		out = append(out, explain.Absent{Node: name, Instance: s.Incarnation, FailureDomain: s.FailureDomain, Excluded: why})
	}
	if service == n.settings.Service {
		add(n.settings.Node, n.serverState(time.Now()), true)
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for name, p := range n.peers.dialed {
		add(name, n.peers.reported[name].server, p.Responsive())
	}
	return out
}
