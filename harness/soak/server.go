package soak

import (
	"bufio"
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

const (
	workTime = 8 * time.Millisecond // how long a server works on a request
	slots    = 6                    // concurrent requests that heartbeats announce as the capacity
	// healthPath is the URL path of the health check, which tells how long the server stays cold.
	healthPath = "/health"
	// copyOneIn, in responses, is how rare copies of a server are that is not Duplicating.
	copyOneIn = 5
)

// noResponse stands for the status of an execution that ends without a response.
const noResponse = 0

// Server is a fake application server next to one node. mu guards the fields below it.
type Server struct {
	name, service, address string
	domain                 string // failure domain
	checker                *Checker
	listener               net.Listener

	mu           sync.Mutex
	misbehavior  Misbehavior
	instanceID   string
	startedAtMS  int64
	sequence     int
	state        string
	coldUntil    time.Time
	drainAckedAt time.Time // when the node acknowledged the draining state; zero if it has not
}

// NewServer starts a warm server without a failure domain that listens on the address.
func NewServer(name, service, address string, c *Checker) (*Server, error) {
	return newServerIn("", name, service, address, c)
}

// newServerIn starts a warm server of a failure domain that listens on the address.
func newServerIn(domain, name, service, address string, c *Checker) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{name: name, service: service, domain: domain, address: address, checker: c, listener: l}
	s.NewIncarnation(0)
	go s.accept()
	return s, nil
}

// NewIncarnation makes the server appear restarted: it gets a new instance id, is ready again and
// stays cold for a time.
func (s *Server) NewIncarnation(cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAtMS = time.Now().UnixMilli()
	s.instanceID = fmt.Sprintf("i-%s-%d", s.name, s.startedAtMS)
	s.sequence, s.state, s.drainAckedAt = 0, "ready", time.Time{}
	s.coldUntil = time.Now().Add(cold)
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
	body := storetest.ServerState{Service: s.service, Address: s.address, FailureDomain: s.domain, State: state, Slots: slots,
		Sequence: s.sequence, Born: s.startedAtMS, Cold: max(0, time.Until(s.coldUntil))}.Heartbeat()
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
	misbehavior, instanceID, acked, coldUntil := s.misbehavior, s.instanceID, s.drainAckedAt, s.coldUntil
	s.mu.Unlock()
	if r.RequestURI == healthPath {
		return conn.sendHealth(max(0, time.Until(coldUntil)))
	}
	d := delivery{send: (*serverConnection).sendWhole}
	respond := func(res response) error {
		res.id = id
		if err := d.send(conn, res); err != nil {
			return err
		}
		if d.name == "" && (misbehavior == Duplicating || rand.IntN(copyOneIn) == 0) {
			s.checker.Count("copied")
			conn.sendLater(conn.previous, rand.N(maxCopyDelay))
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
		return respond(response{status: http.StatusMisdirectedRequest})
	}
	now := time.Now()
	s.checker.OnArrival(arrival{id: id, at: now, server: instanceID, domain: s.domain, cold: now.Before(coldUntil), header: r.Header})
	if misbehavior == Rejecting && rand.IntN(2) == 0 {
		return respond(response{status: http.StatusServiceUnavailable, notExecuted: true})
	}
	d = misbehavior.draw()
	execution := s.checker.OnStart(id, instanceID, d.status)
	if caller := r.Header.Get(headers.CallerService); caller != "alpha" && caller != "beta" {
		s.checker.Violationf("request %s has unexpected caller service %q", id, caller)
	}
	work := workTime
	if misbehavior == Slow {
		work *= 5
	}
	time.Sleep(work)
	if d.name != "" {
		s.checker.Count(d.name)
	}
	res := response{status: d.status, framing: d.framing, signature: signatureOf(id, execution, d.blocks),
		body: responseBody(s.service, id, string(body), execution, d.blocks)}
	if d.status == noResponse {
		res.status = http.StatusOK // of the response that does not arrive whole
	}
	return respond(res)
}

// Close closes the listener. The connections end with the nodes.
func (s *Server) Close() { _ = s.listener.Close() }
