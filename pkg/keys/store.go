package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

// authorityName is the file name of the authority, without extension.
const authorityName = "ca"

// Write stores the authority as ca.pem and ca-key.pem in dir, which must exist. It returns
// an error if one of the files exists.
func (a *Authority) Write(dir string) error {
	pair, err := encodePair(a.certificate.Raw, a.key)
	if err != nil {
		return err
	}
	return pair.Write(dir, authorityName)
}

// LoadAuthority reads the authority that Authority.Write stored in dir.
func LoadAuthority(dir string) (*Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, authorityName+".pem"))
	if err != nil {
		return nil, oops.In("keys").Code("no-authority").Hint("create it with corianderctl keys authority").Wrapf(err, "read authority")
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityName+"-key.pem"))
	if err != nil {
		return nil, oops.In("keys").Code("no-authority").Hint("create it with corianderctl keys authority").Wrapf(err, "read authority key")
	}
	return parseAuthority(Pair{Certificate: certificate, Key: key})
}

func parseAuthority(p Pair) (*Authority, error) {
	certBlock, _ := pem.Decode(p.Certificate)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, oops.In("keys").Code("not-pem").Errorf("keys: the authority files are not PEM files; create them with corianderctl keys authority")
	}
	certificate, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, oops.In("keys").Wrapf(err, "parse authority certificate")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, oops.In("keys").Wrapf(err, "parse authority key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, oops.In("keys").Code("key-type").Errorf("keys: the authority key is not an ECDSA key; create it with corianderctl keys authority")
	}
	return &Authority{certificate: certificate, key: key}, nil
}
