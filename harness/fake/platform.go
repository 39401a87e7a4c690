package fake

import (
	"net/http"
	"strings"
	"sync"
)

// Platform is an in-memory fake of the platform with fault injection. It implements the
// subset of the DynamoDB JSON API and of the S3 API that the adapter in pkg/platform/aws
// uses. Tables and buckets are created on first use. Signatures must be present but are
// not verified.
type Platform struct {
	mu     sync.Mutex // guards tables, objects, tokens and stats
	tables map[string]*table
	// objects is keyed by bucket and key, joined by a slash.
	objects map[string][]byte
	tokens  map[string]tokenRecord // by ClientRequestToken
	stats   PlatformStats
	faults  *faultInjector
}

// PlatformStats counts the operations of a Platform. Conflicts are writes whose condition
// was not met. Refused requests were throttled or arrived while the platform was down.
// Dropped counts requests and responses that were discarded. The byte counts cover bodies.
type PlatformStats struct {
	Reads         int `json:"reads"`
	Writes        int `json:"writes"`
	Conflicts     int `json:"conflicts"`
	Refused       int `json:"refused"`
	Dropped       int `json:"lost"`
	RequestBytes  int `json:"request_bytes"`
	ResponseBytes int `json:"answer_bytes"`
}

// NewPlatform returns an empty platform without faults. The seed determines which requests
// are hit by random faults.
func NewPlatform(seed uint64) *Platform {
	return &Platform{
		tables:  map[string]*table{},
		objects: map[string][]byte{},
		tokens:  map[string]tokenRecord{},
		faults:  newFaultInjector(seed),
	}
}

// SetFaults replaces the injected faults. It applies to requests that arrive afterwards;
// setting Down also drops the responses of requests in progress.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.set(f) }

// Faults returns the current faults. DropResponses is the number that remains.
func (p *Platform) Faults() PlatformFaults { return p.faults.get() }

// Stats returns the counts since NewPlatform.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// ServeHTTP serves the admin endpoint, the DynamoDB API and the S3 API on one address.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, adminPrefix):
		p.serveAdmin(w, r)
	case r.Header.Get("X-Amz-Target") != "":
		p.faults.serve(w, r, p, p.serveDynamoDB)
	default:
		p.faults.serve(w, r, p, p.serveS3)
	}
}

func (p *Platform) updateStats(update func(s *PlatformStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}
