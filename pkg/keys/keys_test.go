package keys

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func writePair(t *testing.T, dir, name string, pair Pair, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(dir, name); err != nil {
		t.Fatal(err)
	}
}

func reloader(t *testing.T, dir, ca, name string) *Reloader {
	t.Helper()
	r, err := NewReloader(Files{
		CA:          filepath.Join(dir, ca),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// handshake runs a TLS handshake over an in-memory connection and returns the errors of
// server and client.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	deadline := time.Now().Add(5 * time.Second)
	_ = a.SetDeadline(deadline)
	_ = b.SetDeadline(deadline)
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(a, server)
		done <- conn.Handshake()
		_ = a.Close()
	}()
	conn := tls.Client(b, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// A TLS 1.3 client receives the rejection of its certificate only when it reads.
		_, _ = conn.Read(make([]byte, 1))
	}
	return <-done, clientErr
}

// Guards against a node that accepts operators as peers, a listener for operators that
// accepts nodes, and certificates of another authority that are accepted.
func TestRoles(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	authority, err := NewAuthority(now)
	if err != nil {
		t.Fatal(err)
	}
	other, err := NewAuthority(now)
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Write(dir); err != nil {
		t.Fatal(err)
	}
	loopback := []net.IP{net.IPv4(127, 0, 0, 1)}
	node, err := authority.NewNode(now, "orders-1", loopback)
	writePair(t, dir, "node", node, err)
	operator, err := authority.NewOperator(now, "ann", "orders")
	writePair(t, dir, "operator", operator, err)
	foreign, err := other.NewNode(now, "orders-2", loopback)
	writePair(t, dir, "foreign", foreign, err)

	n, o, f := reloader(t, dir, "ca.pem", "node"), reloader(t, dir, "ca.pem", "operator"), reloader(t, dir, "ca.pem", "foreign")
	tests := []struct {
		name           string
		server, client *tls.Config
		accepted       bool
	}{
		{"node to node", n.NodeConfig(), n.NodeConfig(), true},
		{"operator to node", n.OperatorConfig(), o.OperatorClient(), true},
		{"operator as a peer", n.NodeConfig(), o.OperatorClient(), false},
		{"node as an operator", n.OperatorConfig(), n.OperatorClient(), false},
		{"foreign node as a peer", n.NodeConfig(), f.NodeConfig(), false},
		{"operator to a foreign node", f.OperatorConfig(), o.OperatorClient(), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, test.server, test.client)
			if accepted := serverErr == nil && clientErr == nil; accepted != test.accepted {
				t.Errorf("accepted = %v, want %v (server: %v, client: %v)", accepted, test.accepted, serverErr, clientErr)
			}
		})
	}
}

// Guards against a certificate rotation that needs a restart, and against an invalid file
// that replaces a valid certificate in use.
func TestReload(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	authority, err := NewAuthority(now)
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Write(dir); err != nil {
		t.Fatal(err)
	}
	first, err := authority.NewNode(now, "orders-1", nil)
	writePair(t, dir, "node", first, err)
	r := reloader(t, dir, "ca.pem", "node")
	before := r.current.Load()

	path := filepath.Join(dir, "node.pem")
	if err := os.WriteFile(path, []byte("broken"), 0o644); err != nil {
		t.Fatal(err)
	}
	later := now.Add(time.Minute)
	if err := os.Chtimes(path, later, later); err != nil {
		t.Fatal(err)
	}
	r.Reload()
	if r.current.Load() != before {
		t.Fatal("an invalid certificate file replaced the valid certificate")
	}

	second, err := authority.NewNode(now, "orders-1", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, second.Certificate, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "node-key.pem"), second.Key, 0o600); err != nil {
		t.Fatal(err)
	}
	latest := now.Add(2 * time.Minute)
	if err := os.Chtimes(path, latest, latest); err != nil {
		t.Fatal(err)
	}
	r.Reload()
	if r.current.Load() == before {
		t.Fatal("a changed certificate file was not loaded")
	}
}
