package bench

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/limit"
	"corianderwood.example/corianderwood/pkg/proxy"
	"corianderwood.example/corianderwood/pkg/snapshot"
)

// callsMesh is an upstream, the peer server of the node beside it, and the caller server of
// another node, in one process on loopback.
type callsMesh struct {
	upstream *fake.Upstream
	peer     *proxy.PeerServer
	caller   *proxy.CallerServer

	upstreamURL, peerAddr, callerURL string
	peerTLS                          *tls.Config // of the client side
	target                           proxy.Target
}

// callsService is the benchmarked service, with the limits that the design states.
var callsService = config.Service{Name: "svc", Version: "v1",
	Limits:    config.Limits{Slots: 9, Connections: 130, Queue: 64},
	Retry:     config.Retry{Ratio: 0.1, Cap: 100, BaseMS: 200, MaxWaitMS: 2000},
	TimeoutMS: 5000, AttemptTimeoutMS: 2000, SlowMS: 1000}

// fixedVersion chooses the version in the settings for every call: no move runs.
type fixedVersion struct{}

func (fixedVersion) Version(_ time.Time, s config.Service, _ string) string { return s.Version }

// nopObserver discards the observations that moves need.
type nopObserver struct{}

func (nopObserver) Observed(time.Time, string, string, string, bool, bool) {}

// fixedUpstream is an upstream that is always registered.
type fixedUpstream proxy.LocalUpstream

func (u fixedUpstream) Upstream() (proxy.LocalUpstream, bool) { return proxy.LocalUpstream(u), true }

// newCallsMesh starts a mesh whose upstream delays its responses by latency.
func newCallsMesh(latency time.Duration) (*callsMesh, error) {
	m := &callsMesh{target: proxy.Target{Instance: "i0", Incarnation: 1}}
	m.upstream = fake.NewUpstream(fake.UpstreamOptions{Service: "svc", Version: "v1", Slots: 9, Seed: 1},
		fake.Behavior{LatencyMS: float64(latency) / float64(time.Millisecond)})
	upstreamAddr, err := serveOn(m.upstream.Serve)
	if err != nil {
		return nil, err
	}
	m.upstreamURL = "http://" + upstreamAddr
	server, client, err := callsTLS()
	if err != nil {
		return nil, err
	}
	m.peerTLS = client
	m.peer = proxy.NewPeerServer(proxy.PeerOptions{Target: m.target, TLS: server,
		Upstream: fixedUpstream{Address: upstreamAddr, Service: "svc", Version: "v1"},
		Limiter:  limit.New(callsService.Limits), Ledger: ledger.New(ledger.Options{})})
	if m.peerAddr, err = serveOn(m.peer.Serve); err != nil {
		return nil, err
	}
	resolver, err := callsResolver()
	if err != nil {
		return nil, err
	}
	balancer := balance.New(balance.Locality{FailureDomain: "a", Region: "r"}, rand.New(rand.NewPCG(1, 1)))
	balancer.Update(time.Now(), "svc", []balance.Endpoint{{Instance: "i0", Incarnation: 1, CallAddr: m.peerAddr,
		FailureDomain: "a", Region: "r", Service: "svc", Version: "v1", Slots: 9}})
	m.caller = proxy.NewCallerServer(proxy.CallerOptions{ProcessID: 1, Resolver: resolver, Versions: fixedVersion{},
		Observer: nopObserver{}, Balancer: balancer, PeerTLS: client,
		Policies: proxy.NewPolicySet(rand.New(rand.NewPCG(1, 2)))})
	addr, err := serveOn(m.caller.Serve)
	m.callerURL = "http://" + addr
	return m, err
}

func (m *callsMesh) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = m.caller.Shutdown(ctx)
	_ = m.peer.Close()
	_ = m.upstream.Close()
}

// callsResolver resolves all paths to callsService.
func callsResolver() (proxy.Resolver, error) {
	snap, err := snapshot.New(config.Document{Revision: 1, Sections: map[string]config.Section{"s": {Name: "s", Team: "t",
		Services: []config.Service{callsService},
		Routes:   []config.Route{{Name: "all", PathPrefix: "/", Service: "svc"}}}}})
	if err != nil {
		return nil, err
	}
	store := snapshot.NewStore()
	return proxy.SnapshotResolver{Store: store}, store.Apply(snap)
}

// serveOn serves on a free loopback port and returns its address.
func serveOn(serve func(net.Listener) error) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = serve(l) }()
	return l.Addr().String(), nil
}

// callsTLS returns the configurations of both sides of mutual TLS, with a self-signed
// certificate made for the run.
func callsTLS() (server, client *tls.Config, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "bench"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	certs := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	return &tls.Config{Certificates: certs, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		&tls.Config{Certificates: certs, RootCAs: pool}, nil
}

// peerTransport returns a client transport that calls the peer server directly, as a caller
// server does, for the path with one added hop.
func (m *callsMesh) peerTransport(workers int) *http.Transport {
	return &http.Transport{TLSClientConfig: m.peerTLS, MaxIdleConnsPerHost: workers, DisableCompression: true}
}
