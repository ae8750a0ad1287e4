package endpointcache

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/endpoints"
	"oakthread/internal/monotime"
)

// HealthChecker checks the health of a worker. The reply may carry a load report.
type HealthChecker interface {
	HealthCheck(ctx context.Context, endpoint oakthread.Endpoint) oakthread.Reply
}

// Options are the settings of the cached list, the [list] section of the operator's file.
type Options struct {
	Path  string // of the list's file; "": the list is not saved
	Owner string // name of the dispatcher
	List  endpoints.Config
	// Classes has the latency objectives: an answer after more than half of its class's is late. nil:
	// no answer is late.
	Classes          *classes.Source
	UtilizationField int // 1 + index of the CPU utilization in a load report; 0: not reported
}

// Syncer keeps an endpoints.List synchronized with service discovery, attempts and health checks,
// and carries out its actions. Create one, then call Run. Its other methods return at once and may
// be called concurrently.
type Syncer struct {
	options Options
	checker HealthChecker
	publish func(oakthread.EndpointUpdate)
	log     *slog.Logger
	saver   *saver
	wake    chan struct{} // capacity 1: there are pending actions

	mu      sync.Mutex // guards list and pending
	list    *endpoints.List
	pending endpoints.Actions
}

// NewSyncer opens the file and restores the list from it. Faults of the file are logged, and only
// its valid records are restored. Run passes updates to publish, in order, from one goroutine.
func NewSyncer(options Options, checker HealthChecker, publish func(oakthread.EndpointUpdate), now time.Time,
	log *slog.Logger,
) *Syncer {
	s := &Syncer{
		options: options,
		checker: checker,
		publish: publish,
		log:     log,
		saver:   newSaver(options.Path, options.Owner, log),
		wake:    make(chan struct{}, 1),
		list:    endpoints.New(options.List),
	}
	if found := s.saver.open(); !found.IsEmpty {
		s.list.Restore(now, found.Snapshot)
		s.pending = s.list.TakeActions()
	}
	return s
}

// ApplyConfigured applies the updates of the configuration unless the cached list is newer, that
// is, its cursor is higher. It is called before Run.
func (s *Syncer) ApplyConfigured(now time.Time, cursor int64, updates []oakthread.EndpointUpdate) {
	if len(updates) == 0 || cursor < s.list.Cursor() {
		return
	}
	for _, update := range updates {
		s.list.HandleUpdate(now, toListUpdate(update, "", cursor))
	}
	s.collectActions()
}

// Cursor returns the number of the last watch event that the list includes. The watch resumes after
// it.
func (s *Syncer) Cursor() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Cursor()
}

// Epoch returns the epoch that the cursor belongs to.
func (s *Syncer) Epoch() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Epoch()
}

// Report returns the report on all endpoints.
func (s *Syncer) Report() []endpoints.EndpointReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Report(monotime.Now())
}

// FailedWrites returns the number of failed writes of the list. Each is retried.
func (s *Syncer) FailedWrites() int64 { return s.saver.failures.Load() }

// HandleUpdate handles a watch event of service discovery.
func (s *Syncer) HandleUpdate(update oakthread.EndpointUpdate, epoch string, cursor int64) {
	s.apply(func(now time.Time, list *endpoints.List) {
		list.HandleUpdate(now, toListUpdate(update, epoch, cursor))
	})
}

// HandleHeartbeat handles a heartbeat of service discovery, which confirms that the list is
// current.
func (s *Syncer) HandleHeartbeat() {
	s.apply(func(now time.Time, list *endpoints.List) { list.HandleConfirmation(now) })
}

// HandleWatchLost handles the end of the connection to service discovery.
func (s *Syncer) HandleWatchLost() {
	s.apply(func(now time.Time, list *endpoints.List) { list.HandleWatchLost(now) })
}

// HandleWatchReset handles a restart of service discovery's event numbering, after which the cursor is
// no longer valid.
func (s *Syncer) HandleWatchReset() {
	s.apply(func(now time.Time, list *endpoints.List) { list.HandleWatchReset(now) })
}

// Admit decides whether a request is admitted now. A rejected one may be retried after retryAfter.
func (s *Syncer) Admit(*oakthread.Request) (retryAfter time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, admitted = s.list.Admit(monotime.Now())
	s.collectActions()
	return retryAfter, admitted
}

// Observe handles the result of an attempt or a load order.
func (s *Syncer) Observe(result oakthread.Observation) {
	observation, isMeaningful := ObservationOf(result.Result, result.Draining)
	if !isMeaningful {
		return
	}
	if observation == endpoints.Answered && s.isLate(result) {
		observation = endpoints.AnsweredLate
	}
	s.apply(func(now time.Time, list *endpoints.List) { list.HandleObservation(now, result.Worker, observation) })
}

// isLate reports whether an attempt whose function was already loaded took more than half of its
// class's latency objective.
func (s *Syncer) isLate(result oakthread.Observation) bool {
	if result.Kind != oakthread.ObservedAttempt || !result.Warm || s.options.Classes == nil {
		return false
	}
	class, ok := s.options.Classes.Table().Numbered(result.Class)
	return ok && result.Duration > time.Duration(class.Rules.LatencyObjective)/2
}

// apply calls event with the list and wakes Run if actions result.
func (s *Syncer) apply(event func(now time.Time, list *endpoints.List)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event(monotime.Now(), s.list)
	s.collectActions()
}

// collectActions adds the list's new actions to the pending ones and wakes Run if there are any. It
// is called with mu held, or before Run.
func (s *Syncer) collectActions() {
	actions := s.list.TakeActions()
	s.pending.Publications = append(s.pending.Publications, actions.Publications...)
	s.pending.HealthChecks = append(s.pending.HealthChecks, actions.HealthChecks...)
	s.pending.Log = append(s.pending.Log, actions.Log...)
	s.pending.Save = s.pending.Save || actions.Save
	s.pending.SaveUrgently = s.pending.SaveUrgently || actions.SaveUrgently
	if !hasActions(actions) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// hasActions reports whether there is anything to carry out.
func hasActions(actions endpoints.Actions) bool {
	count := len(actions.Publications) + len(actions.HealthChecks) + len(actions.Log)
	return count > 0 || actions.Save || actions.SaveUrgently
}

// toListUpdate converts a watch event to an update of the list. Every kind but EndpointsDelta
// becomes a full update.
func toListUpdate(update oakthread.EndpointUpdate, epoch string, cursor int64) endpoints.Update {
	converted := endpoints.Update{Full: update.Kind != balancer.EndpointsDelta, Epoch: epoch, Cursor: cursor}
	for _, endpoint := range update.Endpoints {
		converted.Endpoints = append(converted.Endpoints, endpoints.Endpoint{
			ID: endpoint.ID, Addr: endpoint.Addr, Zone: endpoint.Zone, Kind: endpoint.Kind, Cell: endpoint.Cell,
			State: endpoint.State, Weight: endpoint.Weight, Start: endpoint.Start,
		})
	}
	return converted
}

// ToCoreEndpoint converts an endpoint of the list to the type of package oakthread.
func ToCoreEndpoint(endpoint endpoints.Endpoint) oakthread.Endpoint {
	return oakthread.Endpoint{
		ID: endpoint.ID, Addr: endpoint.Addr, Zone: endpoint.Zone, Kind: endpoint.Kind, Cell: endpoint.Cell,
		State: endpoint.State, Weight: endpoint.Weight, Start: endpoint.Start,
	}
}

// ObservationOf converts the result of an attempt, health check or load order to an observation of
// the worker. It returns false if the result says nothing about the worker, such as for an attempt
// that was canceled or never sent.
func ObservationOf(result balancer.Result, isDraining bool) (observation endpoints.Observation, isMeaningful bool) {
	if isDraining {
		return endpoints.ReportedDraining, true
	}
	switch result {
	case balancer.OK, balancer.NotLoaded:
		return endpoints.Answered, true
	case balancer.QueueFull:
		return endpoints.Overloaded, true
	case balancer.ConnectFailed:
		return endpoints.ConnectionRefused, true
	case balancer.Timeout:
		return endpoints.TimedOut, true
	case balancer.Error, balancer.Reset:
		return endpoints.ConnectionBroken, true
	case balancer.Cancelled, balancer.NotSent:
	}
	return 0, false
}
