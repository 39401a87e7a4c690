package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for an application server beside a node.
type server struct {
	id, service, address, control, zone, version string

	born   int64
	slots  chan struct{}
	record *record
	// work returns how long the next request takes.
	work func() time.Duration

	http *http.Server

	mu   sync.Mutex
	seq  int
	stop chan struct{} // closed when no more heartbeats are sent
	// ran is called for each request that the server begins to work on, answered with the status and
	// the time that it took.
	ran      func(id string)
	answered func(id string, status int, took time.Duration)
	// serve takes the server's connections instead of the usual handler; nil for the latter.
	serve func(net.Conn)
}

// timerDelay is by how much the server notices late that a request's deadline has passed: timers fire
// slightly late.
const timerDelay = 3 * time.Millisecond

func newServer(id, service, address, control, zone string, rec *record) *server {
	return &server{
		id: id, service: service, address: address, control: control, zone: zone, born: time.Now().UnixMilli(),
		version: "v1", slots: make(chan struct{}, 9), record: rec, stop: make(chan struct{}),
		work: func() time.Duration { return 20 * time.Millisecond },
		ran:  func(string) {}, answered: func(string, int, time.Duration) {},
	}
}

func (s *server) start() error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	if s.serve == nil {
		go func() { _ = s.http.Serve(l) }()
	} else {
		go s.acceptRaw(l)
	}
	go s.beat()
	return nil
}

func (s *server) acceptRaw(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// exit ends the server like a process that exits.
func (s *server) exit() {
	s.mute()
	_ = s.http.Close()
}

// mute ends the heartbeats.
func (s *server) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Corianderwood-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Corianderwood-Request-Id")
	w.Header().Set("X-Corianderwood-Request-Id", id)
	w.Header().Set("X-Corianderwood-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	if want := r.Header.Get("X-Corianderwood-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Corianderwood-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Corianderwood-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		w.Header().Set("X-Corianderwood-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.ran(id)
	began, work := time.Now(), s.work()
	if ms, err := strconv.Atoi(r.Header.Get("X-Corianderwood-Deadline-Ms")); err == nil {
		left := time.Duration(ms) * time.Millisecond
		if work > left { // it stops at the deadline, also if its caller has left
			time.Sleep(left + timerDelay)
			s.answered(id, http.StatusGatewayTimeout, time.Since(began))
			w.Header().Set("X-Corianderwood-Response-Signature", "504-"+id)
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
	}
	time.Sleep(work)
	s.answered(id, http.StatusOK, time.Since(began))
	out := []byte("done " + id + " by " + s.id + "\n")
	h := fnv.New64a()
	_, _ = h.Write(out)
	_, _ = h.Write(body)
	w.Header().Set("X-Corianderwood-Response-Signature", fmt.Sprintf("%x", h.Sum64()))
	_, _ = w.Write(out)
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": cap(s.slots),
		"state": state, "cold_time": "0ms", "seq": s.seq, "born": s.born,
	})
	return body
}

func (s *server) beat() {
	for {
		s.call(http.MethodPut, s.heartbeat("ready"))
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// call sends a heartbeat or a withdrawal. It reports whether that is acknowledged: by a 2xx response
// within a second.
func (s *server) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.callWithin(ctx, method, body) == http.StatusOK
}

func (s *server) callWithin(ctx context.Context, method string, body []byte) int {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.control+"/-/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10)); err != nil {
		return 0
	}
	return res.StatusCode
}
