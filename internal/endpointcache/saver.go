package endpointcache

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"oakthread/endpoints"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
)

const (
	// urgentSaveDelay is the time for which an urgent save waits for further changes. It is short
	// so that a drain or a removal is on disk within 100 ms of the report.
	urgentSaveDelay = 30 * time.Millisecond

	// saveDelay is the corresponding time for all other saves.
	saveDelay = time.Second

	// reopenInterval is the time between attempts to open a file that cannot be opened.
	reopenInterval = 30 * time.Second

	// reopenIntervalInUse is the same for a file that another process has open, such as the previous
	// version in an upgrade, which closes it when it ends.
	reopenIntervalInUse = time.Second
)

// saveRequest is a snapshot to be saved.
type saveRequest struct {
	snapshot    endpoints.Snapshot
	urgent      bool
	requestedAt time.Time
}

// saver writes snapshots of the list to its file in the background. It coalesces requests and
// retries a failed write until that snapshot or a newer one is on disk, also when the file has to
// be reopened.
type saver struct {
	path, owner string
	log         *slog.Logger
	requests    chan saveRequest // capacity 1; closed by Syncer.saveFinal after the last request
	failures    atomic.Int64

	// The fields below are accessed only by the goroutine of run, once it has started.
	store    *Store // nil: the file is not open
	latest   saveRequest
	unsaved  bool // latest is not on disk after a failure
	backoff  neterr.Backoff
	reopenAt time.Time
}

// newSaver returns a saver for the file at path. If path is empty, nothing is saved.
func newSaver(path, owner string, log *slog.Logger) *saver {
	return &saver{path: path, owner: owner, log: log, requests: make(chan saveRequest, 1)}
}

// open opens the file and returns its contents. It is called before run.
func (s *saver) open() Contents {
	if s.path == "" {
		return Contents{IsEmpty: true}
	}
	store, found, err := Open(s.path, s.owner)
	if err != nil {
		s.log.Error("cached endpoint list not used", "error", err)
	}
	s.store = store
	if found.CorruptRecords > 0 {
		s.log.Error("cached endpoint list partially read", "corrupt_records", found.CorruptRecords,
			"endpoints", len(found.Snapshot.Endpoints))
	}
	if found.Schema > 0 && found.Schema < Schema {
		s.log.Info("cached endpoint list of an older schema", "schema", found.Schema)
	}
	return found
}

// request asks for a save. It replaces a request that run has not received yet. It is called from
// one goroutine at a time.
func (s *saver) request(request saveRequest) {
	select {
	case replaced := <-s.requests:
		request.urgent = request.urgent || replaced.urgent
		request.requestedAt = replaced.requestedAt
	default:
	}
	s.requests <- request
}

// run saves until requests is closed, and closes the file.
func (s *saver) run() {
	retry := time.NewTimer(idleInterval)
	defer retry.Stop()
	for {
		retry.Stop()
		if s.unsaved {
			retry.Reset(s.backoff.Next())
		}
		select {
		case request, isOpen := <-s.requests:
			if !isOpen {
				s.close()
				return
			}
			s.latest = s.coalesce(request)
		case <-retry.C:
		}
		s.write()
	}
}

// coalesce replaces the request by newer ones until the delay of the first request is over, or that
// of an urgent one if that is earlier. It returns the newest.
func (s *saver) coalesce(request saveRequest) saveRequest {
	due := request.requestedAt.Add(saveDelay)
	if request.urgent {
		due = request.requestedAt.Add(urgentSaveDelay)
	}
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for {
		select {
		case newer, isOpen := <-s.requests:
			if !isOpen {
				return request
			}
			urgentDue := newer.requestedAt.Add(urgentSaveDelay)
			if newer.urgent && !request.urgent && urgentDue.Before(due) {
				due = urgentDue
				timer.Reset(max(0, time.Until(due)))
			}
			newer.urgent = newer.urgent || request.urgent
			request = newer
		case <-timer.C:
			return request
		}
	}
}

// write saves the latest snapshot. If the file is not open, it first tries to open it.
func (s *saver) write() {
	if s.path == "" {
		return
	}
	s.reopenIfDue()
	if s.store == nil {
		s.unsaved = true
		return
	}
	if err := s.store.Write(s.latest.snapshot); err != nil {
		s.handleFailure(err)
		return
	}
	if s.unsaved {
		s.log.Info("cached endpoint list saved again", "path", s.path)
	}
	s.unsaved = false
	s.backoff.Reset()
}

// reopenIfDue opens the file if it is not open, at most once per reopenInterval, or per
// reopenIntervalInUse while another process has it open.
func (s *saver) reopenIfDue() {
	if s.store != nil || monotime.Now().Before(s.reopenAt) {
		return
	}
	var err error
	s.store, _, err = Open(s.path, s.owner) // open or handleFailure has logged the original error
	interval := reopenInterval
	if errors.Is(err, ErrInUse) {
		interval = reopenIntervalInUse
	}
	s.reopenAt = monotime.Now().Add(interval)
}

// handleFailure logs the first of several consecutive failures. It closes a damaged file, so that
// the retry calls Open, which replaces it.
func (s *saver) handleFailure(err error) {
	s.failures.Add(1)
	if !s.unsaved {
		s.log.Error("cached endpoint list not saved, retrying", "error", err)
	}
	s.unsaved = true
	if errors.Is(err, ErrDamaged) {
		_ = s.store.Close()
		s.store, s.reopenAt = nil, time.Time{}
	}
}

// close makes a last attempt to write an unsaved snapshot and closes the file.
func (s *saver) close() {
	if s.unsaved {
		s.write()
	}
	if s.store == nil {
		return
	}
	if err := s.store.Close(); err != nil {
		s.log.Error("cached endpoint list not closed", "error", err)
	}
}
