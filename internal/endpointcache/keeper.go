package endpointcache

// This file owns the life of a list in a running dispatcher: it feeds the state machine what discovery, attempts and
// probes tell, and carries out what that orders. It must never block the core's loop, choose a box, or write on the
// path of a call.

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
)

const (
	healthCheckTimeout = 250 * time.Millisecond
	urgentSaveDelay    = 30 * time.Millisecond // a drain or an end is on disk within 100 ms of being told
	saveDelay          = time.Second           // all else
	reopenInterval     = 30 * time.Second
	maxUtilization     = 0.9 // share of its cores at work: a box that reports more proves no room
)

// HealthChecker asks a worker for its load.
type HealthChecker interface {
	HealthCheck(ctx context.Context, m oakthread.Endpoint) oakthread.Reply
}

// Options are the operator's [list] section.
type Options struct {
	Path   string
	Owner  string
	Roster endpoints.Config
	Aims   []time.Duration // by class: an answer later than half of it proves no room
	Util   int             // 1 + place of the cores' use in a load report; 0: not reported
}

// Syncer has a list follow the world. Make one with NewKeeper, then call Run.
type Syncer struct {
	options Options
	checker HealthChecker
	publish func(oakthread.EndpointUpdate)
	log     *slog.Logger

	mu      sync.Mutex
	list    *endpoints.List
	pending endpoints.Actions

	wake   chan struct{}
	probed chan struct{} // to have the loop look again
	saves  chan saveRequest
	store  *Store
	begun  time.Time

	failedWrites atomic.Int64
}

type saveRequest struct {
	snapshot    endpoints.Snapshot
	urgent      bool
	requestedAt time.Time
}

// NewKeeper opens the file and starts the list from it. It tells one line for whatever is wrong with the file, and goes
// on with what is sound or without. tell hands news to the core, in order, from one goroutine.
func NewKeeper(o Options, boxes HealthChecker, tell func(oakthread.EndpointUpdate), now time.Time, log *slog.Logger) *Syncer {
	k := &Syncer{options: o, checker: boxes, publish: tell, log: log, list: endpoints.New(o.Roster), wake: make(chan struct{}, 1),
		saves: make(chan saveRequest, 1), begun: now}
	if o.Path == "" {
		return k
	}
	s, found, err := Open(o.Path, o.Owner)
	if err != nil {
		log.Error("kept list not used", "err", err)
	}
	k.store = s
	if found.Unsound > 0 {
		log.Error("kept list read in part", "records_left_out", found.Unsound, "boxes", len(found.Kept.Endpoints))
	}
	if found.Schema > 0 && found.Schema < Schema {
		log.Info("kept list of an older schema, written anew", "schema", found.Schema)
	}
	if !found.None {
		k.list.Restore(now, found.Kept)
		k.pending = k.list.TakeActions()
	}
	return k
}

// Known takes the list that the configuration brings, unless the kept one is newer.
func (k *Syncer) Known(now time.Time, cursor int64, rs []oakthread.EndpointUpdate) {
	if len(rs) == 0 || cursor < k.list.Cursor() {
		return
	}
	for _, r := range rs {
		k.list.HandleUpdate(now, toUpdate(r, "", cursor))
	}
	k.collectActions()
}

// Cursor and Epoch are where discovery is to go on from.
func (k *Syncer) Cursor() int64 { k.mu.Lock(); defer k.mu.Unlock(); return k.list.Cursor() }
func (k *Syncer) Epoch() string { k.mu.Lock(); defer k.mu.Unlock(); return k.list.Epoch() }

// Rows reports on the list as it stands.
func (k *Syncer) Rows() []endpoints.Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Rows(monotime.Now())
}

// apply runs f on the list and has the loop carry out what comes of it. It returns at once.
func (k *Syncer) apply(f func(now time.Time, l *endpoints.List)) {
	k.mu.Lock()
	f(monotime.Now(), k.list)
	k.collectActions()
	k.mu.Unlock()
}

// collectActions adds the list's new actions to those not yet carried out. Called with mu held, or before Run.
func (k *Syncer) collectActions() {
	a := k.list.TakeActions()
	k.pending.Publish = append(k.pending.Publish, a.Publish...)
	k.pending.Probe = append(k.pending.Probe, a.Probe...)
	k.pending.Log = append(k.pending.Log, a.Log...)
	k.pending.Save, k.pending.Urgent = k.pending.Save || a.Save, k.pending.Urgent || a.Urgent
	if len(a.Publish)+len(a.Probe)+len(a.Log) > 0 || a.Save || a.Urgent {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// Told, Current, Lost and StartedOver are what discovery's side tells, from one goroutine.
func (k *Syncer) Told(r oakthread.EndpointUpdate, epoch string, cursor int64) {
	k.apply(func(now time.Time, l *endpoints.List) { l.HandleUpdate(now, toUpdate(r, epoch, cursor)) })
}

func (k *Syncer) Current()     { k.apply(func(now time.Time, l *endpoints.List) { l.ConfirmCurrent(now) }) }
func (k *Syncer) Lost()        { k.apply(func(now time.Time, l *endpoints.List) { l.WatchLost(now) }) }
func (k *Syncer) StartedOver() { k.apply(func(now time.Time, l *endpoints.List) { l.ResetWatch(now) }) }

// Admit is the core's gate.
func (k *Syncer) Admit(*oakthread.Request) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait, ok := k.list.Admit(monotime.Now())
	k.collectActions()
	return wait, ok
}

// Observe takes the end of an attempt or order from the core.
func (k *Syncer) Observe(o oakthread.Observation) {
	s, tells := Sign(o.Result, o.Draining)
	if !tells {
		return
	}
	if s == endpoints.Answered && o.Kind == oakthread.ObservedAttempt && o.Class < len(k.options.Aims) && o.Warm && o.Duration > k.options.Aims[o.Class]/2 {
		s = endpoints.Slow
	}
	k.apply(func(now time.Time, l *endpoints.List) { l.Observe(now, o.Worker, s) })
}

// Sign reads the end of an attempt, probe or order: what it shows of the box, if anything.
func Sign(r balancer.Result, drains bool) (endpoints.Observation, bool) {
	switch {
	case drains:
		return endpoints.Drains, true
	case r == balancer.OK || r == balancer.NotLoaded:
		return endpoints.Answered, true
	case r == balancer.QueueFull:
		return endpoints.Busy, true
	case r == balancer.ConnectFailed:
		return endpoints.Refused, true
	case r == balancer.Timeout:
		return endpoints.Silent, true
	case r == balancer.Error || r == balancer.Reset:
		return endpoints.Broken, true
	}
	return 0, false // called off or never written: it shows nothing
}

func toUpdate(r oakthread.EndpointUpdate, epoch string, cursor int64) endpoints.Update {
	u := endpoints.Update{Full: r.Kind != balancer.EndpointsDelta, Epoch: epoch, Cursor: cursor}
	for _, m := range r.Endpoints {
		u.Endpoints = append(u.Endpoints, endpoints.Endpoint{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State,
			Weight: m.Weight, Start: m.Start})
	}
	return u
}

// Member is the box as the core knows it.
func Member(b endpoints.Endpoint) oakthread.Endpoint {
	return oakthread.Endpoint{ID: b.ID, Addr: b.Addr, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, State: b.State, Weight: b.Weight, Start: b.Start}
}

// Run carries out what the list orders until ctx ends; then the list is on disk and the file closed.
func (k *Syncer) Run(ctx context.Context) {
	written := make(chan struct{})
	go func() { defer close(written); k.runWriter() }()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		k.mu.Lock()
		now := monotime.Now()
		if at := k.list.NextDeadline(); !at.IsZero() && !at.After(now) {
			k.list.Tick(now)
			k.collectActions()
		}
		a := k.pending
		k.pending = endpoints.Actions{}
		if a.Save || a.Urgent {
			k.requestSave(saveRequest{k.list.TakeSnapshot(now), a.Urgent, now})
		}
		next := k.list.NextDeadline()
		k.mu.Unlock()
		for _, p := range a.Publish {
			r := oakthread.EndpointUpdate{Kind: p.Kind}
			for _, b := range p.Endpoints {
				r.Endpoints = append(r.Endpoints, Member(b))
			}
			k.publish(r)
		}
		for _, line := range a.Log {
			k.log.Info(line)
		}
		for _, b := range a.Probe {
			go k.checkHealth(ctx, b)
		}
		wait := time.Hour
		if !next.IsZero() {
			wait = max(time.Until(next), time.Millisecond)
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			k.mu.Lock()
			k.requestSave(saveRequest{k.list.TakeSnapshot(monotime.Now()), true, monotime.Now()})
			k.mu.Unlock()
			close(k.saves)
			<-written
			return
		case <-k.wake:
		case <-t.C:
		}
	}
}

// requestSave gives the writer the newest list; one that it has not taken yet is replaced.
func (k *Syncer) requestSave(s saveRequest) {
	select {
	case old := <-k.saves:
		s.urgent = s.urgent || old.urgent
		s.requestedAt = old.requestedAt
	default:
	}
	k.saves <- s
}

func (k *Syncer) checkHealth(ctx context.Context, b endpoints.Endpoint) {
	in, done := context.WithTimeout(ctx, healthCheckTimeout)
	defer done()
	r := k.checker.HealthCheck(in, Member(b))
	s, tells := Sign(r.Result, r.Draining)
	if !tells {
		s = endpoints.Silent
		if errors.Is(ctx.Err(), context.Canceled) {
			return
		}
	}
	if i := k.options.Util - 1; s == endpoints.Answered && i >= 0 && i < len(r.Report) && r.Report[i] > maxUtilization {
		s = endpoints.Slow
	}
	k.apply(func(now time.Time, l *endpoints.List) { l.Probed(now, b.ID, s) })
}

// runWriter is the writer's goroutine: it coalesces what comes and outlives a disk that is full, gone or damaged. A list that
// could not be written is tried again until it or a newer one is on disk.
func (k *Syncer) runWriter() {
	w := writer{syncer: k}
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for {
		retry.Stop()
		if w.pending {
			retry.Reset(w.backoff.Next())
		}
		select {
		case s, open := <-k.saves:
			if !open {
				w.close()
				return
			}
			wait := saveDelay
			if s.urgent {
				wait = urgentSaveDelay
			}
			w.latest = k.coalesce(s, s.requestedAt.Add(wait))
		case <-retry.C:
		}
		w.write()
	}
}

// writer is what the writer's goroutine holds.
type writer struct {
	syncer   *Syncer
	latest   saveRequest
	pending  bool // latest is not on disk
	backoff  neterr.Backoff
	reopenAt time.Time // the file is not opened before
}

// write brings the latest list to disk, opening the file where that is due.
func (w *writer) write() {
	k := w.syncer
	if k.options.Path == "" {
		return
	}
	if k.store == nil && !monotime.Now().Before(w.reopenAt) {
		w.reopenAt = monotime.Now().Add(reopenInterval)
		k.store, _, _ = Open(k.options.Path, k.options.Owner)
	}
	if k.store == nil {
		w.pending = true
		return
	}
	if err := k.store.Write(w.latest.snapshot); err != nil {
		w.recordFailure(err)
		if errors.Is(err, ErrDamaged) {
			_ = k.store.Close()
			k.store, w.reopenAt = nil, time.Time{}
		}
		return
	}
	if w.pending {
		k.log.Info("kept list written again", "path", k.options.Path)
	}
	w.pending = false
	w.backoff.Reset()
}

func (w *writer) recordFailure(err error) {
	w.syncer.failedWrites.Add(1)
	if !w.pending {
		w.syncer.log.Error("kept list not written, the file stays as it was; trying again", "err", err)
	}
	w.pending = true
}

// close tries a last time and closes the file.
func (w *writer) close() {
	if w.pending {
		w.write()
	}
	if w.syncer.store == nil {
		return
	}
	if err := w.syncer.store.Close(); err != nil {
		w.syncer.log.Error("list file not closed", "err", err)
	}
}

// FailedWrites counts the writes of the list that failed; each is tried again.
func (k *Syncer) FailedWrites() int64 { return k.failedWrites.Load() }

// coalesce waits until due for newer lists; an urgent one brings the end nearer.
func (k *Syncer) coalesce(s saveRequest, due time.Time) saveRequest {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	for {
		select {
		case x, open := <-k.saves:
			if !open {
				return s
			}
			if x.urgent && !s.urgent {
				if soon := x.requestedAt.Add(urgentSaveDelay); soon.Before(due) {
					due = soon
					t.Reset(max(0, time.Until(due)))
				}
			}
			x.urgent = x.urgent || s.urgent
			s = x
		case <-t.C:
			return s
		}
	}
}
