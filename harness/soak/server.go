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

// headers holds the names of the deployment's HTTP headers.
var headers = platform.Headers()

// Misbehavior is a way in which a server misbehaves.
type Misbehavior int

// Misbehaviors of a server.
const (
	NoMisbehavior Misbehavior = iota
	// Slow takes five times workTime.
	Slow
	// Failing responds to half of the requests with status 500.
	Failing
	// Rejecting rejects half of the requests as not executed.
	Rejecting
	// Resetting closes the connection of half of the requests, after it has executed
	// them, without a response.
	Resetting
	// Duplicating sends half of the responses twice.
	Duplicating
)

const (
	workTime = 8 * time.Millisecond // how long a server works on a request
	slots    = 6                    // concurrent requests that heartbeats announce as the capacity
	// signature, followed by the request id, is the signature header of each response. A
	// client detects by it a header that was lost or belongs to another response.
	signature = "signed"
)

// Server is a fake application server next to one node. mu guards the fields below it.
type Server struct {
	name, service, address string
	checker                *Checker
	http                   *http.Server

	mu           sync.Mutex
	misbehavior  Misbehavior
	instanceID   string
	startedAtMS  int64
	sequence     int
	state        string
	drainAckedAt time.Time // when the node acknowledged the draining state; zero if it has not
}

// NewServer starts a server that listens on the address.
func NewServer(name, service, address string, c *Checker) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{name: name, service: service, address: address, checker: c}
	s.NewIncarnation()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // ends with Close
	return s, nil
}

// NewIncarnation makes the server appear restarted: it gets a new instance id and is
// ready again.
func (s *Server) NewIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAtMS = time.Now().UnixMilli()
	s.instanceID = fmt.Sprintf("i-%s-%d", s.name, s.startedAtMS)
	s.sequence, s.state, s.drainAckedAt = 0, "ready", time.Time{}
}

// SetMisbehavior sets how the server misbehaves from now on.
func (s *Server) SetMisbehavior(t Misbehavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehavior = t
}

// Drain makes the server report the draining state in its heartbeats.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

// SendHeartbeat reports the server's state to its node; control is the address of the
// node's control listener. Connection errors are ignored.
func (s *Server) SendHeartbeat(control string) {
	s.mu.Lock()
	s.sequence++
	id, state := s.instanceID, s.state
	body := storetest.Heartbeat(s.service, s.address, slots, state, s.sequence, s.startedAtMS)
	s.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+control+storetest.HeartbeatPath(id), bytes.NewBufferString(body))
	if err != nil {
		s.checker.Violationf("cannot build heartbeat request: %v", err)
		return
	}
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return // the node is down or paused; the next heartbeat reports the state
	}
	_ = res.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.StatusCode == http.StatusOK && state == "draining" && s.instanceID == id && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
	}
}

// ServeHTTP executes one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	s.mu.Lock()
	misbehavior, instanceID, acked := s.misbehavior, s.instanceID, s.drainAckedAt
	s.mu.Unlock()
	w.Header().Set(headers.RequestID, id)
	if r.Header.Get(headers.ExpectInstance) != instanceID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late := time.Since(acked) - drainGrace; !acked.IsZero() && late > 0 {
		s.checker.Violationf("request %s reached draining server %s %v after the end of its grace period", id, instanceID, late)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has closed the connection
	}
	misbehave := rand.IntN(2) == 0
	if misbehavior == Rejecting && misbehave {
		w.Header().Set(headers.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.checker.OnStart(id, instanceID)
	if caller := r.Header.Get(headers.CallerService); caller != "alpha" && caller != "beta" {
		s.checker.Violationf("request %s has unexpected caller service %q", id, caller)
	}
	work := workTime
	if misbehavior == Slow {
		work *= 5
	}
	time.Sleep(work)
	w.Header().Set(headers.Signature, signature+id)
	switch {
	case misbehavior == Failing && misbehave:
		w.WriteHeader(http.StatusInternalServerError)
	case misbehavior == Resetting && misbehave:
		panic(http.ErrAbortHandler)
	case misbehavior == Duplicating && misbehave:
		s.sendTwice(w, id, body)
	default:
		fmt.Fprintf(w, "%s %s %s", s.service, id, body)
	}
}

// sendTwice sends the response twice on the same connection.
func (s *Server) sendTwice(w http.ResponseWriter, id string, body []byte) {
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := fmt.Sprintf("%s %s %s", s.service, id, body)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headers.RequestID, id, headers.Signature, signature+id, len(text), text)
	_, _ = out.WriteString(response + response) // fails if the node has closed the connection
	_ = out.Flush()
}

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.http.Close() }
