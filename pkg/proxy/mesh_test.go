package proxy

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/limit"
	"corianderwood.example/corianderwood/pkg/snapshot"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// envSeed returns the random seed from the environment variable SEED, by default 1.
func envSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// meshTLS returns the configurations of mutual TLS with a certificate made for the test.
func meshTLS(t testing.TB) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, _ := x509.ParseCertificate(der)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	certs := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	return &tls.Config{Certificates: certs, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		&tls.Config{Certificates: certs, RootCAs: pool}
}

// fixedUpstream is an UpstreamSource that returns an upstream set by the test.
type fixedUpstream struct {
	mu       sync.Mutex
	up       LocalUpstream
	registry *upstream.Registry // replaces up, if set
}

func (f *fixedUpstream) Upstream() (LocalUpstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry != nil {
		return RegistryUpstreamSource{f.registry}.Upstream()
	}
	return f.up, f.up.Address != ""
}

// testVersions always chooses the version of the service.
type testVersions struct{}

func (testVersions) Version(_ time.Time, s config.Service, _ string) string { return s.Version }

// testObserver ignores observations.
type testObserver struct{}

func (testObserver) Observed(time.Time, string, string, string, bool, bool) {}

// testNode is an upstream and the node beside it.
type testNode struct {
	instance    string
	incarnation uint64
	handler     http.Handler
	upstream    *http.Server
	source      *fixedUpstream
	peer        *PeerServer
	ledger      *ledger.Ledger
	limiter     *limit.Limiter
	addr        string // of the peer listener
	dialAddr    string // address that ingress nodes dial: addr or that of a faultRelay
}

// mesh is an ingress node, listening at url, and the nodes of the upstreams it knows.
type mesh struct {
	t            testing.TB
	callerServer *CallerServer
	balancer     *balance.Balancer
	metrics      *Metrics
	url          string
	nodes        []*testNode
	service      config.Service
	server       *tls.Config
	client       *tls.Config
}

// newMesh starts an ingress node and one upstream with its node per handler.
func newMesh(t testing.TB, service config.Service, handlers ...http.Handler) *mesh {
	t.Helper()
	m := &mesh{t: t, service: service, metrics: NewMetrics(nil)}
	m.server, m.client = meshTLS(t)
	m.service.Name, m.service.Version = "svc", "v1"
	doc := config.Document{Revision: 1, Sections: map[string]config.Section{"s": {Name: "s", Team: "t",
		Services: []config.Service{m.service},
		Routes: []config.Route{{Name: "all", PathPrefix: "/", Service: "svc"},
			{Name: "free", PathPrefix: "/free", Service: "svc", Repeatable: config.RepeatAlways}}}}}
	snap, err := snapshot.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	store := snapshot.NewStore()
	if err := store.Apply(snap); err != nil {
		t.Fatal(err)
	}
	m.balancer = balance.New(balance.Locality{FailureDomain: "a", Region: "r"}, rand.New(rand.NewPCG(envSeed(), 1)))
	m.callerServer = NewCallerServer(CallerOptions{ProcessID: 77, Resolver: SnapshotResolver{store},
		Versions: testVersions{}, Observer: testObserver{}, Balancer: m.balancer,
		Policies: NewPolicySet(rand.New(rand.NewPCG(envSeed(), 2))), PeerTLS: m.client, Metrics: m.metrics})
	l := listen(t)
	m.url = "http://" + l.Addr().String()
	go func() { _ = m.callerServer.Serve(l) }()
	t.Cleanup(func() { _ = m.callerServer.server.http.Close(); m.callerServer.Close() })
	for i, h := range handlers {
		m.addNode(fmt.Sprintf("i%d", i), h)
	}
	if len(handlers) > 0 {
		m.update()
	}
	return m
}

// defaultService returns a service whose limits are not reached by the tests.
func defaultService() config.Service {
	return config.Service{Limits: config.Limits{Slots: 64, Connections: 400, Queue: 256},
		Retry: config.Retry{Ratio: 0.1, Cap: 100, BaseMS: 5, MaxWaitMS: 50}, TimeoutMS: 3000, AttemptTimeoutMS: 2000, SlowMS: 1000}
}

// addNode starts an upstream and its node. The test must call update once after the last
// one: the balancer sends little traffic at first to nodes added by later updates.
func (m *mesh) addNode(instance string, h http.Handler) *testNode {
	n := &testNode{instance: instance, incarnation: 1, handler: h, source: &fixedUpstream{}}
	n.startUpstream(m.t)
	m.startPeer(n)
	n.dialAddr = n.addr
	m.nodes = append(m.nodes, n)
	return n
}

func (n *testNode) startUpstream(t testing.TB) {
	l := listen(t)
	n.upstream = &http.Server{Handler: n.handler}
	go func() { _ = n.upstream.Serve(l) }()
	t.Cleanup(func() { n.upstream.Close() })
	n.source.mu.Lock()
	n.source.up = LocalUpstream{Address: l.Addr().String(), Service: "svc", Version: "v1"}
	n.source.mu.Unlock()
}

// closeUpstream closes the upstream and waits until connections to it are refused. A
// server that is closed before its Serve has begun closes its listener a little later.
func (n *testNode) closeUpstream(t testing.TB) {
	n.upstream.Close()
	for range 200 {
		conn, err := net.Dial("tcp", n.source.up.Address)
		if err != nil {
			return
		}
		conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the closed upstream still accepts connections")
}

// startPeer starts the peer server of n, at its previous address if it had one.
func (m *mesh) startPeer(n *testNode) {
	n.ledger = ledger.New(ledger.Options{})
	n.limiter = limit.New(m.service.Limits)
	addr := n.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		m.t.Fatal(err)
	}
	capped := limit.NewListener(l, m.service.Limits.Connections)
	n.peer = NewPeerServer(PeerOptions{Target: Target{n.instance, n.incarnation}, Upstream: n.source,
		Limiter: n.limiter, Ledger: n.ledger, TLS: m.server, ConnState: capped.ConnState, Metrics: m.metrics})
	peer := n.peer
	go func() { _ = peer.Serve(capped) }()
	m.t.Cleanup(func() { peer.Close() })
	n.addr = l.Addr().String()
}

// update passes the nodes to the balancer, except for those in leaving.
func (m *mesh) update(leaving ...*testNode) {
	var endpoints []balance.Endpoint
	for _, n := range m.nodes {
		if slices.Contains(leaving, n) {
			continue
		}
		endpoints = append(endpoints, balance.Endpoint{Instance: n.instance, Incarnation: n.incarnation,
			CallAddr: n.dialAddr, FailureDomain: "a", Region: "r", Service: "svc", Version: "v1", Slots: 64})
	}
	m.balancer.Update(time.Now(), "svc", endpoints)
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// result is a response whose body was read to its end, or the error of the request.
type result struct {
	status int
	header http.Header
	body   string
	err    error
	// trailer is nil if there is none.
	trailer http.Header
}

// do sends one request to the ingress node with the given client.
func (m *mesh) do(ctx context.Context, client *http.Client, method, path string, body io.Reader, header http.Header) result {
	req, err := http.NewRequestWithContext(ctx, method, m.url+path, body)
	if err != nil {
		return result{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(text), err, resp.Trailer}
}

// newClient returns a client with its own connections.
func newClient(t testing.TB) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
