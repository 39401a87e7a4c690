package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// mesh is a small deployment: nodes in three zones with a server each, a store and clients.
type mesh struct {
	folder  string
	record  *record
	store   *store
	nodes   []*node
	servers []*server
	clients []*client

	cancel  context.CancelFunc
	pending sync.WaitGroup
}

// configurationWith returns a configuration with the given timeout of the safe route.
func configurationWith(timeout string) []byte { return fmt.Appendf(nil, configuration, timeout) }

const configuration = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
	`"listeners":[{"host":"shop.example","rules":[` +
	`{"name":"r-browse","kind":"safe","targetLatency":"400ms","priority":2,"match":{"prefix":"/browse/"},"action":{"service":"front","timeout":%q,"attempts":2}},` +
	`{"name":"r-order","kind":"unsafe","targetLatency":"500ms","priority":1,"match":{"prefix":"/order/"},"action":{"service":"front","timeout":"1500ms","attempts":2}}]}],` +
	`"clusters":[{"name":"front","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false}]}`

func newMesh(rec *record, zones []string) (*mesh, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	m := &mesh{folder: folder, record: rec}
	network := freeNetwork()
	if m.store, err = newStore(network + ".9:8309"); err != nil {
		return m, err
	}
	for i, zone := range zones {
		n, err := newNode(folder, fmt.Sprintf("n%d", i+1), fmt.Sprintf("%s.%d", network, i+1), zone, "front", m.store.address, rec)
		if err != nil {
			return m, err
		}
		m.nodes = append(m.nodes, n)
		m.servers = append(m.servers, newServer(fmt.Sprintf("i-%d", i+1), "front", n.server(), n.control(), zone, rec))
		m.clients = append(m.clients, newClient(n, rec))
	}
	return m, nil
}

// begin starts all processes and servers, waits until the nodes are ready, and starts the traffic: a request
// at each node in each interval.
func (m *mesh) begin(timeout string, interval time.Duration) error {
	for _, n := range m.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, s := range m.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	m.store.put("op", "config", configurationWith(timeout))
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range m.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(m.nodes) {
			break
		}
		if time.Now().After(end) {
			return errors.New("the nodes don't become ready")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	for _, c := range m.clients {
		m.pending.Go(func() { c.run(ctx, interval) })
	}
	return nil
}

// end stops the traffic and ends all processes.
func (m *mesh) end() {
	if m.cancel != nil {
		m.cancel()
	}
	m.pending.Wait()
	for _, n := range m.nodes {
		n.signal(syscall.SIGKILL)
		_ = n.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.folder)
	} else {
		fmt.Println("logs:", filepath.Join(m.folder))
	}
}

// find returns a client attempt.
func (m *mesh) find(id string) (sent, bool) {
	for _, c := range m.clients {
		if s, ok := c.find(id); ok {
			return s, true
		}
	}
	return sent{}, false
}

// allInTouch reports whether all nodes have run undisturbed for the window before.
func (m *mesh) allInTouch(at time.Time) bool {
	for _, n := range m.nodes {
		if !n.inTouch(at) {
			return false
		}
	}
	return true
}

// say writes a line to the record and to the terminal.
func (m *mesh) say(format string, args ...any) {
	m.record.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
