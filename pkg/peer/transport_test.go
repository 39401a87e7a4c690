package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// testCA is a certificate authority for tests. Its config method issues a node
// certificate.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testCA{cert, key}
}

func (ca *testCA) config(t *testing.T) func() *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	c := &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
	}
	return func() *tls.Config { return c }
}

// startTransport runs a transport that responds to requests with their payload and
// delivers messages to the channel. The function stops the transport.
func startTransport(t *testing.T, config func() *tls.Config, addr string) (*Transport, chan []byte, func()) {
	t.Helper()
	transport, err := New(Options{Addr: addr, TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan []byte, 100)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Run(ctx, func(p []byte, reply func([]byte) error) {
			if reply != nil {
				_ = reply(append([]byte("answer to "), p...))
				return
			}
			got <- p
		})
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return transport, got, stop
}

func receive(t *testing.T, ch <-chan []byte) []byte {
	t.Helper()
	select {
	case p := <-ch:
		return p
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived")
		return nil
	}
}

// Guards against messages that are lost or changed, as datagrams or on streams, and
// against a second connection for the opposite direction.
func TestSendAndRequest(t *testing.T) {
	ca := newTestCA(t)
	a, gotA, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	b, gotB, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	for _, size := range []int{1, MaxDatagramBytes, MaxDatagramBytes + 1, 300 << 10} {
		want := bytes.Repeat([]byte{byte(size)}, size)
		if !a.Send(b.Addr(), want) {
			t.Fatalf("message of %d B dropped", size)
		}
		if got := receive(t, gotB); !bytes.Equal(got, want) {
			t.Errorf("message of %d B arrived changed, with %d B", size, len(got))
		}
	}
	b.Send(a.Addr(), []byte("back"))
	if got := receive(t, gotA); string(got) != "back" {
		t.Errorf("got %q", got)
	}
	if n := b.Stats().Connections; n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
	answer, err := b.Request(t.Context(), a.Addr(), []byte("question"))
	if err != nil || string(answer) != "answer to question" {
		t.Errorf("answer %q, %v", answer, err)
	}
}

// Guards against a transport that accepts connections from, or connects to, a node
// without a certificate of its own CA.
func TestRefusesOtherCA(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	good, got, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	other, _, _ := startTransport(t, otherCA.config(t), "127.0.0.1:0")
	if _, err := other.Request(t.Context(), good.Addr(), []byte("x")); err == nil {
		t.Error("a request to a node with a certificate of another CA succeeded")
	}
	// This client trusts the CA of the node but has no certificate of that CA.
	trusting := ca.config(t)().Clone()
	trusting.Certificates = otherCA.config(t)().Certificates
	untrusted, _, _ := startTransport(t, func() *tls.Config { return trusting }, "127.0.0.1:0")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := untrusted.Request(ctx, good.Addr(), []byte("x")); err == nil {
		t.Error("a request of a client with a certificate of another CA was answered")
	}
	untrusted.Send(good.Addr(), []byte("x"))
	select {
	case <-got:
		t.Error("a message of a client with a certificate of another CA was accepted")
	case <-time.After(300 * time.Millisecond):
	}
}

// Guards against messages that stay lost after a process was replaced by another one at
// the same address: a connection to the earlier process must be replaced after
// UnresponsiveTimeout.
func TestPeerReplacedAtSameAddress(t *testing.T) {
	ca := newTestCA(t)
	a, _, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	b, gotB, stop := startTransport(t, ca.config(t), "127.0.0.1:0")
	addr := b.Addr()
	a.Send(addr, []byte("first"))
	receive(t, gotB)
	// The socket is closed first, so that the peer receives no close of the connection.
	_ = b.quicTransport.Conn.Close()
	stop()
	_, gotB2, _ := startTransport(t, ca.config(t), addr)
	deadline := time.Now().Add(2*UnresponsiveTimeout + DialTimeout)
	for time.Now().Before(deadline) {
		a.Send(addr, []byte("again"))
		select {
		case <-gotB2:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Error("no message reached the new process before the deadline")
}

// Guards against unbounded queues for an unreachable peer, against dropped messages that
// are not counted, and against messages and requests over the size limits.
func TestQueueIsBounded(t *testing.T) {
	ca := newTestCA(t)
	a, _, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	unresponsive, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	accepted := 0
	for range 2 * QueueSize {
		if a.Send(unresponsive.LocalAddr().String(), []byte("x")) {
			accepted++
		}
	}
	if accepted > QueueSize+1 {
		t.Errorf("%d messages wait, want at most %d", accepted, QueueSize+1)
	}
	if n := testutil.ToFloat64(a.metrics.drops.WithLabelValues(dropQueueFull)); int(n) != 2*QueueSize-accepted {
		t.Errorf("%v dropped messages counted, want %d", n, 2*QueueSize-accepted)
	}
	if a.Send(unresponsive.LocalAddr().String(), make([]byte, MaxMessageBytes+1)) {
		t.Error("message over the size limit accepted")
	}
	if _, err := a.Request(t.Context(), unresponsive.LocalAddr().String(), make([]byte, MaxRequestBytes+1)); err == nil {
		t.Error("request over the size limit accepted")
	}
}

// Guards against a new connection per message. Logs the bytes that a connection and a
// small message on an open connection take.
func TestBytesPerMessage(t *testing.T) {
	ca := newTestCA(t)
	a, _, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	b, gotB, _ := startTransport(t, ca.config(t), "127.0.0.1:0")
	const messages = 50
	a.Send(b.Addr(), make([]byte, 100))
	receive(t, gotB)
	time.Sleep(200 * time.Millisecond)
	opened := a.Stats()
	for range messages {
		a.Send(b.Addr(), make([]byte, 100))
		receive(t, gotB)
	}
	time.Sleep(200 * time.Millisecond)
	after := a.Stats()
	t.Logf("opening: %d B sent, %d B received; message of 100 B: %d B sent, %d B received",
		opened.BytesSent, opened.BytesReceived,
		(after.BytesSent-opened.BytesSent)/messages, (after.BytesReceived-opened.BytesReceived)/messages)
	if after.Connections != 1 {
		t.Errorf("%d connections, want 1", after.Connections)
	}
}
