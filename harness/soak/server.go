package soak

import (
	"bufio"
	"bytes"
	"errors"
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
	// Duplicating sends each response twice, the second time up to maxCopyDelay later on the
	// same connection, which stays in use. One of copiedFailureOneIn has status 500.
	Duplicating
)

const (
	workTime = 8 * time.Millisecond // how long a server works on a request
	slots    = 6                    // concurrent requests that heartbeats announce as the capacity
	// maxCopyDelay is the time after a response within which a copy of it is sent.
	maxCopyDelay = 60 * time.Millisecond
	// copyOneIn, in responses, is how rare copies of a server are that is not Duplicating.
	copyOneIn = 5
	// copiedFailureOneIn, in responses, is how rare failures of a Duplicating server are. With
	// more of them, nodes avoid the server.
	copiedFailureOneIn = 10
	// signature, followed by the request id, a dot and the number of the execution, is the
	// signature header of each response. A client detects by it a header that was lost or
	// belongs to another response.
	signature = "signed"
)

// noResponse stands for the status of an execution that ends without a response.
const noResponse = 0

var errNoResponse = errors.New("the response is withheld")

// Server is a fake application server next to one node. mu guards the fields below it.
type Server struct {
	name, service, address string
	checker                *Checker
	listener               net.Listener

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
	s := &Server{name: name, service: service, address: address, checker: c, listener: l}
	s.NewIncarnation()
	go s.accept()
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

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConnection{Conn: conn})
	}
}

// serve executes the requests on one connection, one after the other.
func (s *Server) serve(conn *serverConnection) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || s.execute(conn, r) != nil {
			return
		}
	}
}

// execute executes one request and responds to it. An error means that the connection can't
// be used for further requests.
func (s *Server) execute(conn *serverConnection, r *http.Request) error {
	id := r.Header.Get(headers.RequestID)
	s.mu.Lock()
	misbehavior, instanceID, acked := s.misbehavior, s.instanceID, s.drainAckedAt
	s.mu.Unlock()
	header := make(http.Header)
	header.Set(headers.RequestID, id)
	respond := func(status int, body string) error {
		response := encodeResponse(status, header, body)
		if err := conn.send(response); err != nil {
			return err
		}
		if misbehavior == Duplicating || rand.IntN(copyOneIn) == 0 {
			s.checker.Count("copied")
			conn.sendLater(response, rand.N(maxCopyDelay))
		}
		return nil
	}
	expected := r.Header.Get(headers.ExpectInstance) == instanceID
	if late := time.Since(acked) - drainGrace; expected && !acked.IsZero() && late > 0 {
		s.checker.Violationf("request %s reached draining server %s %v after the end of its grace period", id, instanceID, late)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err // the caller has closed the connection
	}
	if !expected {
		return respond(http.StatusMisdirectedRequest, "")
	}
	misbehave := rand.IntN(2) == 0
	if misbehavior == Rejecting && misbehave {
		header.Set(headers.NotExecuted, "1")
		return respond(http.StatusServiceUnavailable, "")
	}
	status := http.StatusOK
	switch {
	case misbehavior == Failing && misbehave, misbehavior == Duplicating && rand.IntN(copiedFailureOneIn) == 0:
		status = http.StatusInternalServerError
	case misbehavior == Resetting && misbehave:
		status = noResponse
	}
	execution := s.checker.OnStart(id, instanceID, status)
	if caller := r.Header.Get(headers.CallerService); caller != "alpha" && caller != "beta" {
		s.checker.Violationf("request %s has unexpected caller service %q", id, caller)
	}
	work := workTime
	if misbehavior == Slow {
		work *= 5
	}
	time.Sleep(work)
	header.Set(headers.Signature, fmt.Sprintf("%s%s.%d", signature, id, execution))
	switch status {
	case noResponse:
		return errNoResponse
	case http.StatusOK:
		return respond(status, responseBody(s.service, id, string(body), execution))
	default:
		return respond(status, "")
	}
}

// responseBody returns the body of the response of an execution.
func responseBody(service, id, requestBody string, execution int) string {
	return fmt.Sprintf("%s %s %s %d", service, id, requestBody, execution)
}

// Close closes the listener. The connections end with the nodes.
func (s *Server) Close() { _ = s.listener.Close() }
