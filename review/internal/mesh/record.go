// Package mesh has the stand-ins of the review: the platform's store, servers and clients,
// and the node's processes that run between them. Every address is a loopback address.
package mesh

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord starts the record in the file of the given name.
func NewRecord(name string) (*Record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: file}, nil
}

// Printf adds one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }
