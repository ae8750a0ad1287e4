package adminapi

import (
	"context"
	"time"

	"oakthread"
	"oakthread/balancer"
)

// banPollInterval is the interval at which the ban file is read for changes by another process: the
// next version of the dispatcher, which runs beside this one while this one drains.
const banPollInterval = 200 * time.Millisecond

// watchBans applies changes that another process makes to the ban file, and retries writes that
// have failed, until ctx is done.
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
		s.publish(s.reloadBans())
	}
}

// reloadBans applies the ban file if it has changed, writes the decisions that are not in it yet,
// and returns the resulting update of the endpoint list.
func (s *Server) reloadBans() oakthread.EndpointUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsaved) == 0 {
		return s.applyBanFile()
	}
	lock, err := s.bans.lock()
	defer lock.Release()
	update := s.applyBanFile()
	s.saveBans(err)
	return update
}

// changeBan applies an operator's decision on a worker and stores it, after the decisions that
// another process has stored meanwhile. It returns the resulting updates of the endpoint list, and
// false if the worker is unknown.
func (s *Server) changeBan(id balancer.WorkerID, offline bool) (updates []oakthread.EndpointUpdate, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lock, err := s.bans.lock()
	defer lock.Release()
	others := s.applyBanFile()
	var own oakthread.EndpointUpdate
	if offline {
		own, known = s.state.Eject(id)
	} else {
		own, known = s.state.Restore(id, time.Now())
	}
	if known {
		s.unsaved[id] = offline
		s.saveBans(err)
	}
	return []oakthread.EndpointUpdate{others, own}, known
}

// applyBanFile applies the ban file, if it has changed since it was last read or written, and after
// it the decisions that are not in it yet. It returns the resulting update of the endpoint list. mu
// must be held.
func (s *Server) applyBanFile() oakthread.EndpointUpdate {
	banned, changed, err := s.bans.read()
	if err != nil {
		s.log.Error("ban file read failed", "path", s.bans.path, "error", err)
	}
	if !changed {
		return oakthread.EndpointUpdate{}
	}
	return s.state.SetEjected(s.unsaved.Apply(banned), time.Now())
}

// saveBans writes the bans in force to the file, unless locking it has failed with lockErr. What
// cannot be written stays in force and in unsaved, and is retried by reloadBans. mu and the lock of
// the file must be held.
func (s *Server) saveBans(lockErr error) {
	err := lockErr
	if err == nil {
		err = s.bans.write(s.state.Ejected())
	}
	if err != nil {
		if suppressed, ok := s.banLogLimit.Allow(time.Now()); ok {
			s.log.Error("ban file write failed", "path", s.bans.path, "error", err, "suppressed", suppressed)
		}
		return
	}
	clear(s.unsaved)
}

// publish passes updates of the endpoint list that are not empty to the core.
func (s *Server) publish(updates ...oakthread.EndpointUpdate) {
	for _, update := range updates {
		if len(update.Endpoints) > 0 {
			s.sources.UpdateEndpoints(update)
		}
	}
}
