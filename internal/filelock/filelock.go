// Package filelock locks files between processes of this machine, with flock(2). The kernel releases
// a lock when the process that holds it ends, however it ends.
package filelock

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// fileMode is the mode of a lock file that is created.
const fileMode = 0o600

// pollInterval is the time between two attempts of Acquire.
const pollInterval = 5 * time.Millisecond

// ErrLocked states that another holder has the lock.
var ErrLocked = errors.New("locked by another process")

// Lock is a lock that is held.
type Lock struct{ file *os.File }

// Try locks the file at path, which it creates if it is missing, against other processes and against
// further calls in this one. It returns ErrLocked if the lock is held already. The file is never
// removed: a lock on a removed file would exclude nobody.
func Try(path string) (*Lock, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	for {
		err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return &Lock{file}, nil
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EWOULDBLOCK):
			err = ErrLocked
		}
		_ = file.Close()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
}

// Acquire is Try, but waits while another holder has the lock. If ctx ends first, it returns the
// error of Try.
func Acquire(ctx context.Context, path string) (*Lock, error) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		lock, err := Try(path)
		if !errors.Is(err, ErrLocked) {
			return lock, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-poll.C:
		}
	}
}

// Release releases the lock. A nil Lock is released already.
func (l *Lock) Release() {
	if l != nil {
		_ = l.file.Close() // the last descriptor of the open file: flock(2) releases the lock
	}
}
