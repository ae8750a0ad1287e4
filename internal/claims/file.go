package claims

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"oakthread/internal/monotime"
)

const (
	fileMode  = 0o600
	fileBytes = slotCount * wordsPerSlot * 8
	// lockTimeout limits the wait for another process, which holds the lock for microseconds
	// unless it is stopped.
	lockTimeout  = 50 * time.Millisecond
	lockInterval = time.Millisecond
)

// errLocked states that another process has held the lock for lockTimeout.
var errLocked = errors.New("claims: locked by another process")

// FilePath returns the path of the file in dir for a dispatcher that listens for clients at listen.
func FilePath(dir, listen string) string {
	name := strings.NewReplacer(":", "_", "/", "_", "[", "", "]", "").Replace(listen)
	return filepath.Join(dir, "oakthread-claims-"+name)
}

// OpenFile returns the table in the file at path, which it creates if it is missing. All processes
// that open the file share the table. Errors contain the path.
func OpenFile(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open claims: %w", err)
	}
	memory, err := mapFile(file)
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("open claims %s: %w", path, err)
	}
	words := unsafe.Slice((*uint64)(unsafe.Pointer(&memory[0])), slotCount*wordsPerSlot)
	return &Table{now: monotime.SinceBoot, shared: &fileLock{file}, slots: words}, nil
}

// mapFile maps a file of fileBytes into memory. An empty file is extended.
func mapFile(file *os.File) ([]byte, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	switch info.Size() {
	case fileBytes:
	case 0:
		if err := file.Truncate(fileBytes); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("it has %d bytes instead of %d", info.Size(), fileBytes)
	}
	return unix.Mmap(int(file.Fd()), 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
}

// fileLock locks a file between processes. The kernel releases the lock when its process ends.
type fileLock struct{ file *os.File }

func (l *fileLock) Lock() error {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockInterval) {
		err := unix.Flock(int(l.file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR):
			return err
		case time.Now().After(deadline):
			return errLocked
		}
	}
}

func (l *fileLock) Unlock() { _ = unix.Flock(int(l.file.Fd()), unix.LOCK_UN) }
