package fake

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// Paths of the control endpoints of an Upstream.
const (
	UpstreamHealthPath     = "/standin/health"
	UpstreamLoadPath       = "/standin/load"
	UpstreamBehaviorPath   = "/standin/behavior"
	UpstreamExecutionsPath = "/standin/executions"
)

// handler serves the control endpoints and executes all other requests.
func (u *Upstream) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(UpstreamHealthPath, u.reportHealth)
	router.HandleFunc(UpstreamLoadPath, u.reportLoad)
	router.HandleFunc(UpstreamBehaviorPath, u.changeBehavior).Methods(http.MethodPut)
	router.HandleFunc(UpstreamExecutionsPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(u.Executions())
	})
	router.PathPrefix("/").HandlerFunc(u.execute)
	return router
}

func (u *Upstream) reportHealth(w http.ResponseWriter, _ *http.Request) {
	if u.Behavior().Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) reportLoad(w http.ResponseWriter, _ *http.Request) {
	reported := int(u.inFlight.Load())
	if override := u.Behavior().Load; override != nil {
		reported = *override
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"running": reported, "queued": 0, "slots": u.options.Slots})
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
