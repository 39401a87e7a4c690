package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"corianderwood.example/corianderwood/pkg/event"
)

// reloadInterval is how often the key files are checked for changes.
const reloadInterval = 10 * time.Second

// Files holds the paths of the PEM files that a Reloader loads.
type Files struct {
	CA, Certificate, Key string
}

// Reloader holds the current certificate and authority pool and replaces both atomically
// when the files change. Its TLS configurations are safe for concurrent use. Reload must
// not be called while Run is running.
type Reloader struct {
	files   Files
	current atomic.Pointer[keyMaterial]
}

type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	version     string // fileVersion of the loaded files
}

// NewReloader loads the files and returns an error if one is missing or invalid.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	m, err := load(files)
	if err != nil {
		return nil, err
	}
	r.current.Store(m)
	return r, nil
}

// Run calls Reload periodically until done is closed.
func (r *Reloader) Run(done <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			r.Reload()
		}
	}
}

// Reload loads the files if one of them has changed. On an error it logs the event and
// keeps the certificate and authorities in use.
func (r *Reloader) Reload() {
	version, err := fileVersion(r.files)
	if err == nil && version == r.current.Load().version {
		return
	}
	m, err := load(r.files)
	if err != nil {
		event.KeysReloadFailed.LogError(err)
		return
	}
	r.current.Store(m)
	event.KeysReloaded.Log("certificate", r.files.Certificate)
}

func load(files Files) (*keyMaterial, error) {
	version, err := fileVersion(files)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, oops.In("keys").Code("pair-invalid").Hint("create the pair with corianderctl keys").Wrapf(err, "load key pair")
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, oops.In("keys").Code("ca-unreadable").Wrapf(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, oops.In("keys").Code("ca-invalid").Errorf("keys: %s contains no PEM certificate; use the ca.pem of the mesh", files.CA)
	}
	return &keyMaterial{certificate: certificate, authorities: pool, version: version}, nil
}

// fileVersion returns a string of all modification times and sizes. It differs if one of the
// files was replaced, even by an older one, unless the size and the time are the same.
func fileVersion(files Files) (string, error) {
	version := ""
	for _, path := range []string{files.CA, files.Certificate, files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return "", oops.In("keys").Code("file-missing").Wrapf(err, "check key file")
		}
		version += fmt.Sprintf("%d:%d ", info.ModTime().UnixNano(), info.Size())
	}
	return version, nil
}
