package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

// Pair is a certificate and its private key in PEM form.
type Pair struct {
	Certificate []byte
	Key         []byte
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, oops.In("keys").Wrapf(err, "encode key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Write stores the pair as <name>.pem and <name>-key.pem in dir. It returns an error if one
// of the files exists. The key is written first, and stays if the certificate's file exists.
func (p Pair) Write(dir, name string) error {
	if err := writeNew(filepath.Join(dir, name+"-key.pem"), p.Key, 0o600); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, name+".pem"), p.Certificate, 0o644)
}

func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return oops.In("keys").Code("file-exists").
			Hint("remove the file or choose another directory").Wrapf(err, "write key file")
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return oops.In("keys").Wrapf(err, "write key file")
}
