package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

const (
	host           = "soak.example"
	clientPause    = 15 * time.Millisecond
	clientDeadline = 2 * time.Second
	heartbeat      = 300 * time.Millisecond
	// settleTime is the time in which a fleet recovers after all faults have ended.
	settleTime = 15 * time.Second
)

// Options of one run.
type Options struct {
	Seed   uint64
	Nodes  int
	Length time.Duration
	// Binary is the node; Dir takes settings and logs.
	Binary, Dir string
}

// Soak is one run.
type Soak struct {
	opts      Options
	rnd       *rand.Rand
	checker   *Checker
	store     *storetest.Store
	instances []*Instance
	proxies   map[string]*Proxy // by "from>to"
	storeView map[string]*Proxy // proxy to the store, by node
	stop      []func()

	mu      sync.Mutex
	version int // newest configuration
}

// Result is what a run has shown.
type Result struct {
	Broken []string
	Counts map[string]int
	Faults []string
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &Soak{
		opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), checker: NewChecker(),
		proxies: make(map[string]*Proxy), storeView: make(map[string]*Proxy),
	}
	defer s.close()
	if err := s.launch(); err != nil {
		return Result{}, err
	}
	if !s.settled(ctx) {
		s.checker.Broken("the fleet does not serve %v after its start", settleTime)
	}
	clients, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, i := range s.instances {
		for _, unsafe := range []bool{false, true} {
			wg.Go(func() { newClient(s, i).run(clients, unsafe) })
		}
		wg.Go(func() { s.watchConfiguration(clients, i) })
	}
	faults := s.play(ctx)
	s.heal()
	if !s.settled(ctx) {
		s.checker.Broken("the fleet does not serve %v after the last fault", settleTime)
	}
	cancel()
	wg.Wait()
	broken, counts := s.checker.Report()
	return Result{broken, counts, faults}, nil
}

// launch starts the store, the proxies, the servers and the nodes.
func (s *Soak) launch() error {
	s.store = storetest.New()
	s.configure()
	for n := range s.opts.Nodes {
		i := &Instance{
			name: fmt.Sprintf("node-%d", n), ip: fmt.Sprintf("127.7.0.%d", n+1), service: []string{"alpha", "beta"}[n%2],
			dir: s.opts.Dir, binary: s.opts.Binary, checker: s.checker,
		}
		server, err := NewServer(i.name, i.service, i.at(storetest.ServerPort), s.checker)
		if err != nil {
			return err
		}
		i.server = server
		s.instances = append(s.instances, i)
	}
	for _, i := range s.instances {
		view, err := s.viewFor(i)
		if err != nil {
			return err
		}
		if err := i.writeSettings(view); err != nil {
			return err
		}
		if err := i.Start(); err != nil {
			return err
		}
		s.every(heartbeat, func() { i.server.Heartbeat(i.at(storetest.ControlPort)) })
	}
	return nil
}

// viewFor gives a node its own way to the store, on which the addresses of other
// nodes are those of the proxies between the two.
func (s *Soak) viewFor(reader *Instance) (string, error) {
	for _, other := range s.instances {
		if other == reader {
			continue
		}
		p, err := NewProxy(reader.ip, other.at(storetest.PeerPort))
		if err != nil {
			return "", err
		}
		s.proxies[reader.name+">"+other.name] = p
	}
	view := func(r storetest.Row) storetest.Row {
		p, ok := s.proxies[reader.name+">"+strings.TrimPrefix(r.Key, "node/")]
		if ok && r.Table == "mesh" {
			r.Value = withAddress(r.Value, p.Address())
		}
		return r
	}
	l, err := net.Listen("tcp4", net.JoinHostPort(reader.ip, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s.store.HandlerWithRows(view)}
	go func() { _ = server.Serve(l) }() // ends with Close
	p, err := NewProxy(reader.ip, l.Addr().String())
	if err != nil {
		return "", err
	}
	s.storeView[reader.name] = p
	s.stop = append(s.stop, func() { _ = server.Close() })
	return p.Address(), nil
}

// every calls f at an interval until the run ends.
func (s *Soak) every(interval time.Duration, f func()) {
	done := make(chan struct{})
	s.stop = append(s.stop, func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				f()
			}
		}
	}()
}

// configure publishes the next configuration. Besides the routes that all have, each
// version has a route of its own.
func (s *Soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	rule := func(name, kind, prefix, service string) storetest.Rule {
		return storetest.Rule{Name: name, Kind: kind, Prefix: prefix, Service: service,
			Target: 400 * time.Millisecond, Timeout: clientDeadline, Attempts: 3}
	}
	s.store.PutConfiguration(s.version, host, []storetest.Rule{
		rule("read", "safe", "/read/", "alpha"), rule("order", "unsafe", "/order/", "beta"),
		rule("own", "safe", fmt.Sprintf("/v%d/", s.version), "alpha"),
	}, []string{"alpha", "beta"})
}

func (s *Soak) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// watchConfiguration checks that the configuration of one process never goes back: a
// version whose successor was seen in force must not serve a request sent later.
func (s *Soak) watchConfiguration(ctx context.Context, i *Instance) {
	c := newClient(s, i)
	seen, since := 0, time.Time{}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		started, ok := i.Running()
		if !ok || started != since {
			seen, since = 0, started
			continue
		}
		newest := s.newest()
		for _, v := range []int{newest, newest - 1, seen - 1} {
			if v < 1 {
				continue
			}
			status := c.probe(v)
			if again, ok := i.Running(); !ok || again != since {
				break // answered by another process, perhaps
			}
			if status == http.StatusNotFound || status == 0 {
				continue
			}
			if v < seen && status == http.StatusOK {
				s.checker.Broken("%s serves version %d after version %d", i.name, v, seen)
			}
			if status == http.StatusOK {
				seen = max(seen, v)
			}
		}
	}
}

// settled waits until every node serves both routes and has the newest configuration.
func (s *Soak) settled(ctx context.Context) bool {
	for _, i := range s.instances {
		c := newClient(s, i)
		end := time.Now().Add(settleTime)
		for !(i.Ready() && c.send(false) && c.send(true) && c.probe(s.newest()) == http.StatusOK) {
			if ctx.Err() != nil || time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func (s *Soak) close() {
	for _, f := range s.stop {
		f()
	}
	for _, i := range s.instances {
		i.Signal(killSignal)
		i.server.Close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	for _, p := range s.storeView {
		p.Close()
	}
	s.store.Close()
	for _, i := range s.instances {
		for _, ok := i.running(); ok; _, ok = i.running() {
			time.Sleep(10 * time.Millisecond)
		}
		if i.log != nil {
			_ = i.log.Close()
		}
	}
}
