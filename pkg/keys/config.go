package keys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/samber/oops"
)

// sessionCacheSize is the number of TLS sessions cached for resumption, one per peer.
const sessionCacheSize = 256

// NodeConfig returns the TLS configuration for TCP connections between nodes, for client
// and server. The peer must present a node certificate. Certificates are verified against
// the authority and NodeUnit, not against the address, because replaced instances get new
// addresses. Each handshake uses the files loaded last.
func (r *Reloader) NodeConfig() *tls.Config {
	return r.config(requireUnit(NodeUnit))
}

// LinkConfig returns the TLS configuration of one QUIC connection between nodes, for
// client and server, with the files loaded last. All node certificates contain NodeUnit as
// DNS name; the client verifies this name instead of the address.
func (r *Reloader) LinkConfig() *tls.Config {
	current := r.current.Load()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{current.certificate},
		RootCAs:          current.authorities,
		ClientCAs:        current.authorities,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ServerName:       NodeUnit,
		VerifyConnection: verifyUnit,
	}
}

func verifyUnit(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate()
	}
	return requireUnit(NodeUnit)(state.PeerCertificates[0])
}

func errNoCertificate() error {
	return oops.In("keys").Code("no-certificate").Errorf("keys: the peer sent no certificate; create one with corianderctl keys")
}

// OperatorConfig returns the TLS configuration of the listener for operators. It accepts
// client certificates of the authority that name one team, but no node certificates.
func (r *Reloader) OperatorConfig() *tls.Config {
	return r.config(refuseUnit(NodeUnit))
}

// VerifyOperator verifies the certificate of an operator's connection against the files
// loaded last. A connection that was opened before an authority was withdrawn, or before the
// certificate expired, must not be used any more.
func (r *Reloader) VerifyOperator(state *tls.ConnectionState) error {
	if state == nil {
		return errNoCertificate()
	}
	return r.verify(*state, refuseUnit(NodeUnit))
}

func (r *Reloader) config(check func(*x509.Certificate) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection verifies the chain instead, for client and server, against
		// the authority loaded last.
		InsecureSkipVerify: true,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, check)
		},
	}
}

func (r *Reloader) verify(state tls.ConnectionState, check func(*x509.Certificate) error) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate()
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         r.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return oops.In("keys").Code("certificate-invalid").Hint("create a certificate with the authority of this mesh").Wrapf(err, "verify certificate")
	}
	return check(leaf)
}

// requireUnit returns a check that accepts certificates with the organizational unit.
func requireUnit(unit string) func(*x509.Certificate) error {
	return func(leaf *x509.Certificate) error {
		if slices.Contains(leaf.Subject.OrganizationalUnit, unit) {
			return nil
		}
		return oops.In("keys").Code("unit-refused").Errorf("keys: certificate %q is not a node certificate; use one created with corianderctl keys node", leaf.Subject.CommonName)
	}
}

// refuseUnit returns a check that accepts certificates with exactly one organizational
// unit, which must not be unit.
func refuseUnit(unit string) func(*x509.Certificate) error {
	return func(leaf *x509.Certificate) error {
		if !slices.Contains(leaf.Subject.OrganizationalUnit, unit) && len(leaf.Subject.OrganizationalUnit) == 1 {
			return nil
		}
		return oops.In("keys").Code("unit-refused").Errorf("keys: certificate %q names no team; use an operator certificate", leaf.Subject.CommonName)
	}
}

// OperatorClient returns the TLS configuration of an operator's client. The server must
// present a node certificate.
func (r *Reloader) OperatorClient() *tls.Config {
	return r.config(requireUnit(NodeUnit))
}

// Team returns the team and the name in an operator's verified certificate. ok is false if
// there is no certificate or it does not name exactly one team.
func Team(state *tls.ConnectionState) (team, name string, ok bool) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return "", "", false
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", "", false
	}
	return subject.OrganizationalUnit[0], subject.CommonName, true
}
