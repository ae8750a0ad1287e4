package webhook

import (
	"fmt"
	"sync"
	"syscall"

	"go.etcd.io/bbolt"
)

// failingDisk fails writes: before anything is written, as a full disk does, or after all of it
// was, as a sync does that the disk never confirmed.
type failingDisk struct {
	*bbolt.DB
	mu              sync.Mutex
	failBeforeWrite int // so many writes fail so
	failAfterWrite  int
	failed          int
}

func (f *failingDisk) write(do func(func(*bbolt.Tx) error) error, change func(*bbolt.Tx) error) error {
	f.mu.Lock()
	before, after := f.failBeforeWrite > 0, f.failBeforeWrite == 0 && f.failAfterWrite > 0
	if before {
		f.failBeforeWrite--
		f.failed++
	} else if after {
		f.failAfterWrite--
		f.failed++
	}
	f.mu.Unlock()
	if before {
		return fmt.Errorf("write: %w", syscall.ENOSPC)
	}
	if err := do(change); err != nil || !after {
		return err
	}
	return fmt.Errorf("sync: %w", syscall.EIO)
}

func (f *failingDisk) Update(change func(*bbolt.Tx) error) error { return f.write(f.DB.Update, change) }
func (f *failingDisk) Batch(change func(*bbolt.Tx) error) error  { return f.write(f.DB.Batch, change) }

// failWrites has the daemon's next writes fail.
func (d *testFront) failWrites(before, after int) *failingDisk {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	d.disk.failBeforeWrite, d.disk.failAfterWrite = before, after
	return d.disk
}
