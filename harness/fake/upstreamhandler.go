package fake

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// Paths of the stand-in's own endpoints.
const (
	UpstreamHealthPath     = "/standin/health"
	UpstreamLoadPath       = "/standin/load"
	UpstreamBehaviorPath   = "/standin/behavior"
	UpstreamExecutionsPath = "/standin/executions"
)

// handler serves the stand-in's own endpoints and answers everything else.
func (u *Upstream) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(UpstreamHealthPath, u.health)
	router.HandleFunc(UpstreamLoadPath, u.load)
	router.HandleFunc(UpstreamBehaviorPath, u.changeBehavior).Methods(http.MethodPut)
	router.HandleFunc(UpstreamExecutionsPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(u.Executions())
	})
	router.PathPrefix("/").HandlerFunc(u.answer)
	return router
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	if u.Behavior().Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	running := int(u.running.Load())
	if misleading := u.Behavior().Load; misleading != nil {
		running = *misleading
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"running": running, "queued": 0, "slots": u.options.Slots})
}

func (u *Upstream) changeBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		http.Error(w, "the body is not a behavior: "+err.Error(), http.StatusBadRequest)
		return
	}
	u.SetBehavior(b)
}
