package sidecar

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"corianderwood.example/corianderwood/pkg/contain"
)

// newStatusMux returns the handler of the metrics address. All paths without a handler of their own
// return the metrics.
func newStatusMux(n *Node) http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.Handle("/status", &statusHandler{node: n}).Methods(http.MethodGet)
	router.Handle("/explain", newExplainHandler(n)).Methods(http.MethodGet)
	router.NotFoundHandler = promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
	return router
}

// statusHandler returns the status of the node. One request runs at a time, so that the documents in
// memory are one at most.
type statusHandler struct {
	node *Node
	busy atomic.Bool
}

func (h *statusHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !h.busy.CompareAndSwap(false, true) {
		w.Header().Set("Retry-After", statusRetryAfter)
		http.Error(w, "another status request is running; try again", http.StatusServiceUnavailable)
		return
	}
	defer h.busy.Store(false)
	defer contain.Recover(contain.StatusRequest, func(error) {
		http.Error(w, "internal error; the log of the node has event 111 with its stack", http.StatusInternalServerError)
	})
	body, err := json.Marshal(h.node.status())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // the client notices a response that is cut off
}
