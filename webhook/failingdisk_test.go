package webhook

import (
	"fmt"
	"sync"
	"syscall"

	"go.etcd.io/bbolt"
)

// failingDisk is a database whose writes fail on demand: before anything is written, as on a full
// disk, or after everything is written, as when the sync reports an error.
type failingDisk struct {
	*bbolt.DB
	mu              sync.Mutex
	failBeforeWrite int // number of writes that are to fail before the write
	failAfterWrite  int // number of writes that are to fail after the write
	failed          int // number of writes that have failed
}

func (f *failingDisk) write(do func(func(*bbolt.Tx) error) error, change func(*bbolt.Tx) error) error {
	before, after := f.nextFailure()
	if before {
		return fmt.Errorf("write: %w", syscall.ENOSPC)
	}
	if err := do(change); err != nil || !after {
		return err
	}
	return fmt.Errorf("sync: %w", syscall.EIO)
}

// nextFailure reports whether the next write fails before or after writing, and counts the failure.
func (f *failingDisk) nextFailure() (before, after bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.failBeforeWrite > 0:
		f.failBeforeWrite--
		f.failed++
		return true, false
	case f.failAfterWrite > 0:
		f.failAfterWrite--
		f.failed++
		return false, true
	}
	return false, false
}

func (f *failingDisk) Update(change func(*bbolt.Tx) error) error { return f.write(f.DB.Update, change) }
func (f *failingDisk) Batch(change func(*bbolt.Tx) error) error  { return f.write(f.DB.Batch, change) }

// failWrites sets how many of the next writes fail before writing, and how many of those that
// follow fail after writing.
func (d *testFront) failWrites(before, after int) *failingDisk {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	d.disk.failBeforeWrite, d.disk.failAfterWrite = before, after
	return d.disk
}
