package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/samber/oops"
)

// NodeUnit is the organizational unit of node certificates. It is not allowed as the name
// of a team.
const NodeUnit = "corianderwood-node"

// Validity of certificates.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
	// clockSkew is how far a certificate's validity starts in the past, so that it is
	// valid on instances whose clock is behind.
	clockSkew = 5 * time.Minute
)

// Authority is the certificate authority of one mesh. It is safe for concurrent use.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority with a new key. It is valid for ten years
// from now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, oops.In("keys").Wrapf(err, "generate authority key")
	}
	template, err := newTemplate(pkix.Name{CommonName: "corianderwood authority"}, now, authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, oops.In("keys").Wrapf(err, "sign authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, oops.In("keys").Wrapf(err, "parse authority certificate")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// NewNode creates a key and a certificate for a node that listens on the given IP
// addresses. The certificate is valid for 90 days from now.
func (a *Authority) NewNode(now time.Time, instance string, addresses []net.IP) (Pair, error) {
	template, err := newTemplate(pkix.Name{CommonName: instance, OrganizationalUnit: []string{NodeUnit}}, now, certificateValidity)
	if err != nil {
		return Pair{}, err
	}
	template.IPAddresses = addresses
	template.DNSNames = []string{NodeUnit}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.sign(template)
}

// NewOperator creates a key and a certificate for an operator of a team. The certificate
// is valid for 90 days from now.
func (a *Authority) NewOperator(now time.Time, name, team string) (Pair, error) {
	if team == "" || team == NodeUnit {
		return Pair{}, oops.In("keys").Code("team-invalid").
			Errorf("keys: %q cannot be the name of a team; choose another name", team)
	}
	template, err := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{team}}, now, certificateValidity)
	if err != nil {
		return Pair{}, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return a.sign(template)
}

func (a *Authority) sign(template *x509.Certificate) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, oops.In("keys").Wrapf(err, "generate key")
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, oops.In("keys").Wrapf(err, "sign certificate")
	}
	return encodePair(der, key)
}

func newTemplate(subject pkix.Name, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, oops.In("keys").Wrapf(err, "choose serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}
