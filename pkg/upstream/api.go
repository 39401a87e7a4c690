package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// AnnouncePath is the URL path of the announce API.
const AnnouncePath = "/v1/announce"

// API serves the announce API:
//
//	POST   /v1/announce            announces the upstream or renews its announcement
//	GET    /v1/announce            returns the Status
//	DELETE /v1/announce?wait_ms=n  drains: returns when no call is in flight or after n ms
type API struct {
	registry *Registry
	running  func(address string) int
}

// NewAPI returns the API of a registry. running returns the number of calls that the
// node has in flight to the upstream at an address.
func NewAPI(r *Registry, running func(address string) int) *API {
	return &API{registry: r, running: running}
}

// Handler returns the HTTP handler. It must be served on a loopback address only.
func (a *API) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(AnnouncePath, a.announce).Methods(http.MethodPost)
	router.HandleFunc(AnnouncePath, a.status).Methods(http.MethodGet)
	router.HandleFunc(AnnouncePath, a.drain).Methods(http.MethodDelete)
	return router
}

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	var announced Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announced); err != nil {
		a.reject(w, http.StatusBadRequest, fmt.Errorf("the body is not a JSON announcement: %w", err))
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		a.reject(w, http.StatusBadRequest, errors.New("the body has data after the announcement: send one JSON object"))
		return
	}
	switch err := a.registry.Announce(time.Now(), announced); {
	case errors.Is(err, ErrDraining), errors.Is(err, ErrAlreadyAnnounced):
		a.reject(w, http.StatusConflict, err)
	case err != nil:
		a.reject(w, http.StatusBadRequest, err)
	default:
		writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": TTL.Milliseconds()})
	}
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	status, ok := a.registry.Status(time.Now())
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no upstream is announced"})
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// drainResponse is the response to a drain request.
type drainResponse struct {
	// Drained is true if no call was in flight any more.
	Drained bool `json:"drained"`
	Running int  `json:"running"`
}

func (a *API) drain(w http.ResponseWriter, r *http.Request) {
	wait := DefaultDrainWait
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 0 {
			a.reject(w, http.StatusBadRequest, fmt.Errorf("wait_ms is %q: want a number of milliseconds", text))
			return
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	address, ok := a.registry.Drain(time.Now())
	if !ok {
		writeJSON(w, http.StatusOK, drainResponse{Drained: true})
		return
	}
	running := a.awaitIdle(r.Context(), address, wait)
	writeJSON(w, http.StatusOK, drainResponse{Drained: running == 0, Running: running})
}

// awaitIdle waits until no call is in flight or the wait is over, and returns the
// number of calls still in flight.
func (a *API) awaitIdle(ctx context.Context, address string, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		running := a.running(address)
		if running == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return running
		case <-tick.C:
		}
	}
}

func (a *API) reject(w http.ResponseWriter, status int, err error) {
	a.registry.metrics.rejected.Inc()
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
