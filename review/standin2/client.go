package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
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

	count atomic.Int64
	mu    sync.Mutex
	all   map[string]sent
}

func newClient(n *node, rec *record) *client {
	return &client{node: n, record: rec, all: make(map[string]sent), http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
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
			pending.Go(func() { c.send(http.MethodGet, "/browse/x", "") })
		}
	}
}

// send sends one request and records it with its answer.
func (c *client) send(method, path, body string) int {
	id := fmt.Sprintf("%s-%d", c.node.name, c.count.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.outbound()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	req.Header.Set("X-Corianderwood-Request-Id", id)
	req.Header.Set("X-Corianderwood-Deadline-Ms", "2500")
	c.mu.Lock()
	c.all[id] = sent{id, time.Now(), c.node}
	c.mu.Unlock()
	c.record.add("sent      %s to %s", id, c.node.name)
	res, err := c.http.Do(req)
	if err != nil {
		c.record.add("answered  %s: no answer", id)
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.record.add("answered  %s: %d, cut", id, res.StatusCode)
		return 0
	}
	c.record.add("answered  %s: %d", id, res.StatusCode)
	return res.StatusCode
}

// find returns the attempt with the id.
func (c *client) find(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.all[id]
	return s, ok
}
