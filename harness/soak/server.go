package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"corianderwood.example/corianderwood/platform"
	"corianderwood.example/corianderwood/platform/storetest"
)

// headers are the names of the deployment's headers.
var headers = platform.Headers()

// Trouble is how a server misbehaves.
type Trouble int

// Troubles of a server.
const (
	Well Trouble = iota
	// Slow takes five times as long.
	Slow
	// Failing answers half of the requests with 500.
	Failing
	// Shedding rejects half of the requests as not run.
	Shedding
	// Losing runs half of the requests and resets the connection.
	Losing
	// Extra sends a second response after half of the responses.
	Extra
)

const (
	workTime  = 8 * time.Millisecond
	slots     = 6
	signature = "signed"
)

// Server is a server stand-in beside one node. mu guards the state.
type Server struct {
	name, service, address string
	checker                *Checker
	http                   *http.Server

	mu       sync.Mutex
	trouble  Trouble
	id       string
	born     int64
	sequence int
	state    string
	acked    time.Time // when its leave was acknowledged
}

// NewServer listens at the address.
func NewServer(name, service, address string, c *Checker) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{name: name, service: service, address: address, checker: c}
	s.Renew()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // ends with Close
	return s, nil
}

// Renew starts a new incarnation.
func (s *Server) Renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born = time.Now().UnixMilli()
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.born)
	s.sequence, s.state, s.acked = 0, "ready", time.Time{}
}

// Set changes how the server misbehaves.
func (s *Server) Set(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// Drain makes the next heartbeats say that the server leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

// Heartbeat tells the node beside the server its state.
func (s *Server) Heartbeat(control string) {
	s.mu.Lock()
	s.sequence++
	id, state := s.id, s.state
	body := storetest.Heartbeat(s.service, s.address, slots, state, s.sequence, s.born)
	s.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+control+storetest.HeartbeatPath(id), bytes.NewBufferString(body))
	if err != nil {
		s.checker.Broken("heartbeat can't be built: %v", err)
		return
	}
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return // the node is down or paused; the next heartbeat tells
	}
	_ = res.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.StatusCode == http.StatusOK && state == "draining" && s.id == id && s.acked.IsZero() {
		s.acked = time.Now()
	}
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	s.mu.Lock()
	trouble, own, acked := s.trouble, s.id, s.acked
	s.mu.Unlock()
	w.Header().Set(headers.RequestID, id)
	if r.Header.Get(headers.ExpectInstance) != own {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late := time.Since(acked) - drainBound; !acked.IsZero() && late > 0 {
		s.checker.Broken("%s reaches %s %v after the bound of its leave", id, own, late)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	hit := rand.IntN(2) == 0
	if trouble == Shedding && hit {
		w.Header().Set(headers.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.checker.Ran(id, own)
	if caller := r.Header.Get(headers.CallerService); caller != "alpha" && caller != "beta" {
		s.checker.Broken("%s names the caller %q", id, caller)
	}
	work := workTime
	if trouble == Slow {
		work *= 5
	}
	time.Sleep(work)
	w.Header().Set(headers.Signature, signature+id)
	switch {
	case trouble == Failing && hit:
		w.WriteHeader(http.StatusInternalServerError)
	case trouble == Losing && hit:
		panic(http.ErrAbortHandler)
	case trouble == Extra && hit:
		s.twice(w, id, body)
	default:
		fmt.Fprintf(w, "%s %s %s", s.service, id, body)
	}
}

// twice sends the response and a second one for the same request.
func (s *Server) twice(w http.ResponseWriter, id string, body []byte) {
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := fmt.Sprintf("%s %s %s", s.service, id, body)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headers.RequestID, id, headers.Signature, signature+id, len(text), text)
	_, _ = out.WriteString(response + response) // the node may have left
	_ = out.Flush()
}

// Close ends the server.
func (s *Server) Close() { _ = s.http.Close() }
