package mesh

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a server has run.
type Run struct {
	ID     string
	Server string
	At     time.Time
	Status int
}

// Server is a stand-in for an application server: it runs what arrives in its slots, answers
// with its signature and the id of the request, and refuses what expects another instance.
type Server struct {
	ID, Service, Zone, Version string
	// Answer returns status and body for a request; it is called while the request has a
	// slot. It is set before Listen.
	Answer func(r *http.Request) (int, []byte)

	record  *Record
	machine *Machine
	born    int64
	http    *http.Server
	slots   chan struct{}

	mu    sync.Mutex
	seq   int
	state string
	runs  []Run
	stop  chan struct{}
}

// NewServer returns a server beside the machine's node.
func NewServer(record *Record, m *Machine, id, version string) *Server {
	return &Server{
		ID: id, Service: m.Service, Zone: m.Zone, Version: version, record: record, machine: m, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, 9), state: "ready", stop: make(chan struct{}),
		Answer: func(*http.Request) (int, []byte) { return http.StatusOK, []byte("ok\n") },
	}
}

// Listen starts to serve at the machine's address for its server.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp4", s.machine.App())
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	if s.http != nil {
		_ = s.http.Close()
	}
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Corianderwood-Request-Id")
	w.Header().Set("X-Corianderwood-Instance-Id", s.ID)
	if id != "" {
		w.Header().Set("X-Corianderwood-Request-Id", id)
	}
	if want := r.Header.Get("X-Corianderwood-Expect-Instance"); want != "" && want != s.ID {
		s.record.Printf("server %s: request %s expects %s: 421", s.ID, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Corianderwood-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	at := time.Now()
	status, body := s.Answer(r)
	s.mu.Lock()
	s.runs = append(s.runs, Run{ID: id, Server: s.ID, At: at, Status: status})
	s.mu.Unlock()
	s.record.Printf("server %s (%s): runs %s %s %s, answers %d, %d bytes", s.ID, s.Version, r.Method, r.URL.Path, id, status, len(body))
	w.Header().Set("X-Corianderwood-Response-Signature", fmt.Sprintf("%s.%d.%08x", id, len(body), crc32.ChecksumIEEE(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Runs returns what the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Heartbeats sends a heartbeat now and every 1.5 s until Close or Quiet.
func (s *Server) Heartbeats() {
	go func() {
		tick := time.NewTicker(1500 * time.Millisecond)
		defer tick.Stop()
		for {
			_ = s.Send(s.Beat())
			select {
			case <-s.stop:
				return
			case <-tick.C:
			}
		}
	}()
}

// Quiet ends the heartbeats; the server goes on to serve.
func (s *Server) Quiet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stop)
}

// SetState sets the state of later heartbeats.
func (s *Server) SetState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// Beat makes the next heartbeat, without sending it.
func (s *Server) Beat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	raw, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.machine.App(), "zone": s.Zone, "version": s.Version, "slots": cap(s.slots),
		"state": s.state, "cold_time": "0ms", "seq": s.seq, "born": s.born,
	})
	return raw
}

// Send sends a heartbeat to the machine's node and reports whether it was acknowledged.
func (s *Server) Send(beat []byte) bool { return s.call(http.MethodPut, beat) }

// Withdraw withdraws the registration and reports whether that was acknowledged.
func (s *Server) Withdraw() bool { return s.call(http.MethodDelete, nil) }

func (s *Server) call(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+s.machine.Control()+"/-/instances/"+s.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		s.record.Printf("server %s: %s %s is not answered: %v", s.ID, method, body, err)
		return false
	}
	defer res.Body.Close()
	s.record.Printf("server %s: %s %s is answered %d", s.ID, method, body, res.StatusCode)
	return res.StatusCode/100 == 2
}
