package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"oakthread/balancer"
	"oakthread/internal/filelock"
)

// BanFilePath returns the path in dir of the ban file of the dispatcher that listens at listen. The
// next version of the dispatcher finds the file by the same name.
func BanFilePath(dir, listen string) string {
	name := strings.NewReplacer(":", "_", "/", "_", "[", "", "]", "").Replace(listen)
	return filepath.Join(dir, "oakthread-bans-"+name+".json")
}

// bannedWorkers is the stored form of the ban file.
type bannedWorkers struct {
	Banned []uint32 `json:"banned"`
}

// lockSuffix is appended to the path of the ban file to name the file whose lock its writers hold.
// The ban file itself is replaced at each write, so a lock on it would not last.
const lockSuffix = ".lock"

// lockTimeout is how long a lock that another process holds is waited for. A holder needs it for one
// small write.
const lockTimeout = 100 * time.Millisecond

// banFile is the file that holds the ids of the workers that operators have taken offline. Two
// processes may share it. Who changes it holds its lock from before it reads the file until it has
// written it, so that no change of the other process is lost.
type banFile struct {
	path    string // empty: no file is kept
	content []byte // as last read or written
}

// lock locks the file against changes by another process. It waits no longer than lockTimeout.
func (f *banFile) lock() (*filelock.Lock, error) {
	if f.path == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	return filelock.Acquire(ctx, f.path+lockSuffix)
}

// read returns the banned workers if the file has changed since it was last read or written. Content
// that cannot be decoded is reported once.
func (f *banFile) read() (banned []balancer.WorkerID, changed bool, err error) {
	if f.path == "" {
		return nil, false, nil
	}
	raw, err := os.ReadFile(f.path)
	if err != nil || bytes.Equal(raw, f.content) {
		return nil, false, nil // a missing file is normal: no worker has ever been banned
	}
	f.content = raw
	var stored bannedWorkers
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, false, fmt.Errorf("decode bans: %w", err)
	}
	banned = make([]balancer.WorkerID, 0, len(stored.Banned))
	for _, id := range stored.Banned {
		banned = append(banned, balancer.WorkerID(id))
	}
	return banned, true, nil
}

// write replaces the file atomically. The caller holds its lock.
func (f *banFile) write(banned []balancer.WorkerID) error {
	if f.path == "" {
		return nil
	}
	var stored bannedWorkers
	for _, id := range banned {
		stored.Banned = append(stored.Banned, uint32(id))
	}
	raw, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	temporary := f.path + ".new." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temporary, raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return err
	}
	f.content = raw
	return nil
}
