package webhook

import (
	"fmt"
	"sync"
	"syscall"

	"go.etcd.io/bbolt"
)

// failingDisk fails writes: before anything is written, as a full disk does, or after all of it was, as a sync does that
// the disk never confirmed.
type failingDisk struct {
	*bbolt.DB
	mu     sync.Mutex
	before int // so many writes fail so
	after  int
	failed int
}

func (f *failingDisk) write(do func(func(*bbolt.Tx) error) error, change func(*bbolt.Tx) error) error {
	f.mu.Lock()
	before, after := f.before > 0, f.before == 0 && f.after > 0
	if before {
		f.before--
		f.failed++
	} else if after {
		f.after--
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

// fail has the daemon's next writes fail.
func (d *daemon) fail(before, after int) *failingDisk {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	d.disk.before, d.disk.after = before, after
	return d.disk
}
