package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/keys"
)

// maxEditBytes limits the body of an edit; a typical section has about 4 KB.
const maxEditBytes = 1 << 20

type server struct {
	backend Backend
	keys    *keys.Reloader
}

// NewHandler returns the HTTP handler of the administration API. It must be served with
// the TLS configuration reloader.OperatorConfig, because the team is read from the verified
// client certificate, which is verified again for each request.
func NewHandler(backend Backend, reloader *keys.Reloader) http.Handler {
	s := &server{backend: backend, keys: reloader}
	router := mux.NewRouter()
	router.Use(s.verify)
	v1 := router.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/status", s.status).Methods(http.MethodGet)
	v1.HandleFunc("/sections", s.sections).Methods(http.MethodGet)
	v1.HandleFunc("/sections/{name}", s.section).Methods(http.MethodGet)
	v1.HandleFunc("/sections/{name}", s.edit).Methods(http.MethodPut)
	v1.HandleFunc("/operations/{id}", s.operation).Methods(http.MethodGet)
	v1.HandleFunc("/moves", s.moves).Methods(http.MethodGet)
	v1.HandleFunc("/moves/{id}", s.move).Methods(http.MethodGet)
	v1.HandleFunc("/nodes", s.nodes).Methods(http.MethodGet)
	v1.HandleFunc("/counters", s.counters).Methods(http.MethodGet)
	return router
}

// verify refuses requests on connections whose certificate is no longer valid.
func (s *server) verify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.keys.VerifyOperator(r.TLS); err != nil {
			event.OperatorRefused.LogError(err, "remote", r.RemoteAddr)
			w.Header().Set("Connection", "close")
			writeProblem(w, &Problem{Kind: KindForbidden, Message: err.Error(), Remedy: "create an operator certificate with corianderctl keys operator"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Status())
}

func (s *server) sections(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Sections())
}

func (s *server) section(w http.ResponseWriter, r *http.Request) {
	response, err := s.backend.Section(r.Context(), mux.Vars(r)["name"])
	writeResponse(w, response, err)
}

func (s *server) edit(w http.ResponseWriter, r *http.Request) {
	team, name, ok := keys.Team(r.TLS)
	if !ok {
		writeProblem(w, &Problem{Kind: KindForbidden, Message: "the certificate names no team",
			Remedy: "create an operator certificate with corianderctl keys operator"})
		return
	}
	var edit Edit
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&edit); err != nil {
		writeProblem(w, &Problem{Kind: KindInvalid, Message: "cannot decode the edit: " + err.Error(),
			Remedy: "correct the JSON; docs/operators.md lists the fields"})
		return
	}
	section := mux.Vars(r)["name"]
	if edit.Section.Name != section {
		writeProblem(w, &Problem{Kind: KindInvalid, Section: section, Field: "name",
			Message: "the section's name differs from the one in the URL", Remedy: "use the same name in both"})
		return
	}
	response, err := s.backend.Edit(r.Context(), team, edit)
	if err != nil {
		event.OperatorRefused.LogError(err, "team", team, "operator", name, "section", section)
	}
	writeResponse(w, response, err)
}

func (s *server) operation(w http.ResponseWriter, r *http.Request) {
	response, err := s.backend.Operation(r.Context(), mux.Vars(r)["id"])
	writeResponse(w, response, err)
}

func (s *server) moves(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Moves())
}

func (s *server) move(w http.ResponseWriter, r *http.Request) {
	response, err := s.backend.Move(r.Context(), mux.Vars(r)["id"])
	writeResponse(w, response, err)
}

func (s *server) nodes(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Nodes())
}

func (s *server) counters(w http.ResponseWriter, _ *http.Request) {
	response, err := s.backend.Counters()
	writeResponse(w, response, err)
}

func writeResponse(w http.ResponseWriter, response any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, response)
		return
	}
	var problem *Problem
	if !errors.As(err, &problem) {
		problem = &Problem{Kind: KindInternal, Message: err.Error(), Remedy: "read the node's log"}
	}
	writeProblem(w, problem)
}

func writeProblem(w http.ResponseWriter, problem *Problem) {
	w.Header().Set("Corianderwood-Problem", string(problem.Kind))
	writeJSON(w, problem.Status(), problem)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
