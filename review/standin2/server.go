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
	"sync"
	"time"
)

// server is a stand-in for an application server beside a node.
type server struct {
	id, service, address, control, zone string
	born                                int64
	slots                               chan struct{}
	work                                time.Duration
	record                              *record

	http *http.Server

	mu   sync.Mutex
	seq  int
	stop chan struct{} // closed when no more heartbeats are sent
	// ran is called for each request that the server begins to work on.
	ran func(id string)
}

func newServer(id, service, address, control, zone string, rec *record) *server {
	return &server{
		id: id, service: service, address: address, control: control, zone: zone, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, 9), work: 20 * time.Millisecond, record: rec, stop: make(chan struct{}),
		ran: func(string) {},
	}
}

func (s *server) start() error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	return nil
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
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
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
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.slots),
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
