package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

const (
	host              = "soak.example"
	clientInterval    = 15 * time.Millisecond
	clientDeadline    = 2 * time.Second
	heartbeatInterval = 300 * time.Millisecond
	// recoveryTimeout bounds the time until a node serves requests after the start or
	// after all faults have ended. Nodes are awaited in turn, each with its own timeout.
	recoveryTimeout = 15 * time.Second
	// keysInterval and scarceInterval are the times between the requests of the clients with keys of
	// several versions and of the limited account at a node.
	keysInterval   = 30 * time.Millisecond
	scarceInterval = 60 * time.Millisecond
	// domainSize is the number of nodes of a failure domain, one for each service.
	domainSize = 2
)

// Options configure one run.
type Options struct {
	// Seed determines the schedule of faults.
	Seed  uint64
	Nodes int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Binary is the path of the node's executable; settings and logs are written
	// to Dir.
	Binary, Dir string
}

// Soak is the state of one run.
type Soak struct {
	opts         Options
	rnd          *rand.Rand
	checker      *Checker
	store        *storetest.Store
	instances    []*Instance
	proxies      map[string]*Proxy // between nodes, by "from>to"
	storeProxies map[string]*Proxy // proxy to the store, by node
	resetProxies map[string]*Proxy // from repeating clients, by node
	cleanups     []func()
	addresses    *network
	disturbances *disturbances

	mu       sync.Mutex
	operator operator
}

// Result is the result of one run: the violated guarantees, the number of requests by
// outcome and a log line for each injected fault.
type Result struct {
	Violations []string
	Counts     map[string]int
	Faults     []string
}

// Run starts the nodes, injects faults and checks the guarantees. An error means that
// the run could not start; violations are reported in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	s := newSoak(o)
	defer s.close()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	if !s.waitUntilServing(ctx) {
		s.checker.Violationf("not all nodes serve requests %v after their start", recoveryTimeout)
	}
	clientCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, i := range s.instances {
		for _, unsafe := range []bool{false, true} {
			wg.Go(func() { newClient(s, i).run(clientCtx, unsafe) })
		}
		wg.Go(func() { newClient(s, i).runKeys(clientCtx) })
		wg.Go(func() { newClient(s, i).runScarce(clientCtx) })
		wg.Go(func() { newRepeatingClient(s, i).run(clientCtx, false) })
		wg.Go(func() { s.watchConfiguration(clientCtx, i) })
	}
	faults := s.runSchedule(ctx)
	s.clearFaults()
	if !s.waitUntilServing(ctx) {
		s.checker.Violationf("not all nodes serve requests %v after the last fault", recoveryTimeout)
	}
	// Other faults may hide what a restore breaks: a node that starts again reads all rows anew.
	s.restoreStore()
	s.rewrite()
	if !s.waitUntilServing(ctx) {
		s.checker.Violationf("not all nodes serve requests with the newest configuration %v after a restore", recoveryTimeout)
	}
	cancel()
	wg.Wait()
	if err := s.checkLogs(); err != nil {
		return Result{}, err
	}
	violations, counts := s.checker.Report()
	return Result{violations, counts, faults}, nil
}

func newSoak(o Options) *Soak {
	return &Soak{
		opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), checker: NewChecker(),
		proxies: make(map[string]*Proxy), storeProxies: make(map[string]*Proxy), resetProxies: make(map[string]*Proxy),
		disturbances: newDisturbances(), operator: operator{evacuated: make(map[string]int)},
	}
}

// start starts the store, the proxies, the servers and the nodes.
func (s *Soak) start() error {
	addresses, err := reserveNetwork()
	if err != nil {
		return err
	}
	s.addresses = addresses
	s.store = storetest.New()
	s.publishConfiguration()
	for n := range s.opts.Nodes {
		i := &Instance{
			name: fmt.Sprintf("node-%d", n), ip: addresses.address(n + 1), service: []string{"alpha", "beta"}[n%2],
			domain: fmt.Sprintf("domain-%d", n/domainSize),
			dir:    s.opts.Dir, binary: s.opts.Binary, checker: s.checker,
		}
		server, err := newServerIn(i.domain, i.name, i.service, i.address(storetest.ServerPort), s.checker)
		if err != nil {
			return err
		}
		i.server = server
		s.instances = append(s.instances, i)
	}
	// The store proxies of running nodes read s.proxies, so it is complete before the first
	// node starts.
	for _, i := range s.instances {
		storeAddress, err := s.startStoreProxy(i)
		if err != nil {
			return err
		}
		if err := i.writeSettings(storeAddress); err != nil {
			return err
		}
		p, err := NewProxy(i.ip, i.address(storetest.ClientPort))
		if err != nil {
			return err
		}
		p.SetMode(ResetToDialer)
		s.resetProxies[i.name] = p
	}
	s.runEvery(copyInterval, s.copyStore)
	for _, i := range s.instances {
		if err := i.Start(); err != nil {
			return err
		}
		s.runEvery(heartbeatInterval, func() { i.server.SendHeartbeat(i.address(storetest.ControlPort)) })
	}
	return nil
}

// startStoreProxy starts a proxy through which one node reads the store. In the rows
// that the node reads, the addresses of other nodes are replaced by those of the
// proxies between it and them. It returns the proxy's address.
func (s *Soak) startStoreProxy(reader *Instance) (string, error) {
	for _, other := range s.instances {
		if other == reader {
			continue
		}
		p, err := NewProxy(reader.ip, other.address(storetest.PeerPort))
		if err != nil {
			return "", err
		}
		s.proxies[reader.name+">"+other.name] = p
	}
	rewriteRow := func(r storetest.Row) storetest.Row {
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
	server := &http.Server{Handler: s.store.HandlerWithRows(rewriteRow)}
	go func() { _ = server.Serve(l) }() // ends with Close
	p, err := NewProxy(reader.ip, l.Addr().String())
	if err != nil {
		return "", err
	}
	s.storeProxies[reader.name] = p
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
	return p.Address(), nil
}

// runEvery calls f periodically until the run ends.
func (s *Soak) runEvery(interval time.Duration, f func()) {
	done := make(chan struct{})
	s.cleanups = append(s.cleanups, func() { close(done) })
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

// watchConfiguration checks that one process never returns to an older version of the
// configuration: once a version was seen in force, no request that is sent later may
// be served by an older version.
func (s *Soak) watchConfiguration(ctx context.Context, i *Instance) {
	c := newClient(s, i)
	seen, since := 0, time.Time{}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		started, ok := i.RunningSince()
		if !ok || started != since {
			seen, since = 0, started
			continue
		}
		newest := s.newestVersion()
		for _, v := range []int{newest, newest - 1, seen - 1} {
			if v < 1 {
				continue
			}
			status := c.probe(v)
			if again, ok := i.RunningSince(); !ok || again != since {
				break // the response may be from another process
			}
			if status == http.StatusNotFound || status == 0 {
				continue
			}
			if v < seen && status == http.StatusOK {
				s.checker.Violationf("%s serves version %d after version %d", i.name, v, seen)
			}
			if status == http.StatusOK {
				seen = max(seen, v)
			}
		}
	}
}

// waitUntilServing waits until every node serves both routes and has the newest
// configuration. It returns false if this takes a node longer than recoveryTimeout or ctx
// ends.
func (s *Soak) waitUntilServing(ctx context.Context) bool {
	for _, i := range s.instances {
		c := newClient(s, i)
		end := time.Now().Add(recoveryTimeout)
		for !(i.Ready() && c.send(order{key: baseKey}) && c.send(order{unsafe: true, key: baseKey}) && c.probe(s.newestVersion()) == http.StatusOK) {
			if ctx.Err() != nil || time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// checkLogs checks that no log of a node contains a key.
func (s *Soak) checkLogs() error {
	for _, i := range s.instances {
		text, err := os.ReadFile(i.logPath())
		if err != nil {
			return err
		}
		if at := bytes.Index(text, []byte(keyMark)); at >= 0 {
			s.checker.Violationf("the log of %s contains a key: %.200q", i.name, text[max(0, at-100):])
		}
	}
	return nil
}

func (s *Soak) close() {
	for _, f := range s.cleanups {
		f()
	}
	for _, i := range s.instances {
		i.Signal(killSignal)
		i.server.Close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	for _, p := range s.storeProxies {
		p.Close()
	}
	for _, p := range s.resetProxies {
		p.Close()
	}
	s.store.Close()
	for _, i := range s.instances {
		for _, ok := i.pid(); ok; _, ok = i.pid() {
			time.Sleep(10 * time.Millisecond)
		}
		if i.log != nil {
			_ = i.log.Close()
		}
	}
	if s.addresses != nil { // after the nodes have ended, which use them until then
		s.addresses.release()
	}
}
