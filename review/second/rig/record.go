// Package rig has the stand-ins of the second review: workers, discovery, clients, webhook senders
// and receivers, and the dispatchers as separate processes. It uses the standard library and the
// published protocol only.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a case: one line for each thing that was sent, answered or run.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{began: time.Now(), file: file}, nil
}

// Logf writes one line with the time since the record began.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() error { return r.file.Close() }
