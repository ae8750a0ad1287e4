package adminapi

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fileLockTimeout is how long a lock that another process holds is waited for. A holder needs it
	// for one small write.
	fileLockTimeout = 100 * time.Millisecond
	// fileLockPollInterval is the time between two attempts to get a lock.
	fileLockPollInterval = 2 * time.Millisecond
)

// errFileLocked states that another process has held a lock for fileLockTimeout.
var errFileLocked = errors.New("locked by another process")

// lockFile locks the file at path, which it creates if it is missing, against other processes and
// against further calls in this one. The kernel releases the lock when its process ends (flock(2)).
// It returns errFileLocked if the lock is not free within fileLockTimeout.
func lockFile(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(fileLockTimeout)
	for {
		err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return func() { _ = file.Close() }, nil // closing releases the lock
		case !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR):
			_ = file.Close()
			return nil, fmt.Errorf("lock %s: %w", path, err)
		case time.Now().After(deadline):
			_ = file.Close()
			return nil, fmt.Errorf("lock %s: %w", path, errFileLocked)
		}
		time.Sleep(fileLockPollInterval)
	}
}
