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

	"oakthread"
	"oakthread/balancer"
)

// banPollInterval is the interval at which the ban file is read for changes by another process: the
// next version of the dispatcher, which runs beside this one while this one drains.
const banPollInterval = 200 * time.Millisecond

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

// banFile is the file that holds the ids of the workers that operators have taken offline.
type banFile struct {
	path    string // empty: no file is kept
	content []byte // as last read or written
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

// write replaces the file atomically.
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

// watchBans applies changes that another process makes to the ban file, until ctx is done.
func (s *Server) watchBans(ctx context.Context) {
	if s.bans.path == "" {
		return
	}
	ticker := time.NewTicker(banPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if update := s.reloadBans(); len(update.Endpoints) > 0 {
			s.sources.UpdateEndpoints(update)
		}
	}
}

// reloadBans applies the ban file if it has changed, and returns the resulting update of the endpoint
// list.
func (s *Server) reloadBans() oakthread.EndpointUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	banned, changed, err := s.bans.read()
	if err != nil {
		s.log.Error("ban file read failed", "path", s.bans.path, "error", err)
	}
	if !changed {
		return oakthread.EndpointUpdate{}
	}
	return s.state.SetEjected(banned, time.Now())
}

// saveBans writes the bans in force to the file. mu must be held.
func (s *Server) saveBans() {
	if err := s.bans.write(s.state.Ejected()); err != nil {
		s.log.Error("ban file write failed", "path", s.bans.path, "error", err)
	}
}
