package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one client attempt.
type sent struct {
	id   string
	at   time.Time
	node *node
}

// client sends requests to the outbound address of one node at a steady rate.
type client struct {
	node   *node
	http   http.Client
	record *record

	// answered is called with the status of each answer, 0 if there is none.
	answered func(id string, status int)
	// received is called with each complete answer.
	received func(id string, res *http.Response, body []byte)

	count atomic.Int64
	mu    sync.Mutex
	all   map[string]sent
}

func newClient(n *node, rec *record) *client {
	return &client{node: n, record: rec, all: make(map[string]sent), answered: func(string, int) {}, received: func(string, *http.Response, []byte) {}, http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// run sends safe requests until ctx ends.
func (c *client) run(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			pending.Go(c.send)
		}
	}
}

// send sends one request and records it with its answer.
func (c *client) send() {
	id := fmt.Sprintf("%s-%d", c.node.name, c.count.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.node.outbound()+"/browse/x", nil)
	if err != nil {
		return
	}
	req.Host = "shop.example"
	req.Header.Set("X-Corianderwood-Request-Id", id)
	req.Header.Set("X-Corianderwood-Deadline-Ms", "2500")
	c.mu.Lock()
	c.all[id] = sent{id, time.Now(), c.node}
	c.mu.Unlock()
	c.record.add("sent      %s to %s", id, c.node.name)
	status := c.exchange(id, req)
	c.record.add("answered  %s: %d", id, status)
	c.answered(id, status)
}

// exchange returns the status of a complete answer, or 0.
func (c *client) exchange(id string, req *http.Request) int {
	res, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0
	}
	c.received(id, res, body)
	return res.StatusCode
}

// find returns the attempt with the id.
func (c *client) find(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.all[id]
	return s, ok
}
