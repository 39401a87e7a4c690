package fake

import (
	"net/http"
	"strings"
	"sync"
)

// Platform is a stand-in for the platform: the subset of the DynamoDB JSON API and of
// the S3 API that the adapter uses, in memory, with faults. Tables and buckets exist
// once they are named. It does not verify signatures.
type Platform struct {
	mu     sync.Mutex // owns all fields below
	tables map[string]*table
	// objects is keyed by bucket and key.
	objects map[string][]byte
	tokens  map[string]tokenRecord
	stats   PlatformStats
	faults  *faultInjector
}

// PlatformStats counts what a Platform did. Bytes are bodies of requests and answers.
type PlatformStats struct {
	Reads        int `json:"reads"`
	Writes       int `json:"writes"`
	Conflicts    int `json:"conflicts"`
	Refused      int `json:"refused"`
	Lost         int `json:"lost"`
	RequestBytes int `json:"request_bytes"`
	AnswerBytes  int `json:"answer_bytes"`
}

// NewPlatform returns an empty platform. The seed decides the fate of requests.
func NewPlatform(seed uint64) *Platform {
	return &Platform{
		tables:  map[string]*table{},
		objects: map[string][]byte{},
		tokens:  map[string]tokenRecord{},
		faults:  newFaultInjector(seed),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.set(f) }

// Faults returns the faults.
func (p *Platform) Faults() PlatformFaults { return p.faults.get() }

// Stats returns the counts since the start.
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

func (p *Platform) count(add func(s *PlatformStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.stats)
}
