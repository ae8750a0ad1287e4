package endpointcache

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/monotime"
)

const (
	healthCheckTimeout = 250 * time.Millisecond

	// maxUtilization is the CPU utilization above which an answered health check counts as late:
	// the worker has no capacity for more load.
	maxUtilization = 0.9

	// idleInterval is the time that Run waits while the list has no deadline.
	idleInterval = time.Hour

	// minTimerInterval keeps Run from spinning when a deadline has just passed.
	minTimerInterval = time.Millisecond
)

// Run carries out the list's actions until ctx ends. It returns after the list has been saved, the
// file closed and every health check ended.
func (s *Syncer) Run(ctx context.Context) {
	var background sync.WaitGroup // the saver and the health checks
	defer background.Wait()
	background.Go(s.saver.run)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		actions, deadline := s.takeActions()
		s.carryOut(ctx, actions, &background)
		timer.Reset(timeUntil(deadline))
		select {
		case <-ctx.Done():
			s.saveFinal()
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// takeActions calls the list's Tick if its deadline has passed and requests a save if one is
// pending. It returns the pending actions and the next deadline, which is zero if there is none.
func (s *Syncer) takeActions() (actions endpoints.Actions, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotime.Now()
	if due := s.list.NextDeadline(); !due.IsZero() && !due.After(now) {
		s.list.Tick(now)
		s.collectActions()
	}
	actions, s.pending = s.pending, endpoints.Actions{}
	if actions.Save || actions.SaveUrgently {
		s.saver.request(saveRequest{snapshot: s.list.TakeSnapshot(now), urgent: actions.SaveUrgently, requestedAt: now})
	}
	return actions, s.list.NextDeadline()
}

// carryOut publishes updates, writes log lines and starts health checks.
func (s *Syncer) carryOut(ctx context.Context, actions endpoints.Actions, background *sync.WaitGroup) {
	for _, publication := range actions.Publications {
		update := oakthread.EndpointUpdate{Kind: publication.Kind}
		for _, endpoint := range publication.Endpoints {
			update.Endpoints = append(update.Endpoints, ToCoreEndpoint(endpoint))
		}
		s.publish(update)
	}
	for _, event := range actions.Log {
		s.log.LogAttrs(ctx, slog.LevelInfo, event.Message, event.Attrs...)
	}
	for _, endpoint := range actions.HealthChecks {
		background.Go(func() { s.checkHealth(ctx, endpoint) })
	}
}

// timeUntil returns the time until a deadline, at least minTimerInterval. It returns idleInterval
// if there is no deadline.
func timeUntil(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return idleInterval
	}
	return max(time.Until(deadline), minTimerInterval)
}

// saveFinal requests the last save and closes the request channel, which ends the saver.
func (s *Syncer) saveFinal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotime.Now()
	s.saver.request(saveRequest{snapshot: s.list.TakeSnapshot(now), urgent: true, requestedAt: now})
	close(s.saver.requests)
}

// checkHealth checks the health of one worker and passes the result to the list. A check without a
// conclusive result counts as timed out, unless it was canceled because Run ends.
func (s *Syncer) checkHealth(ctx context.Context, endpoint endpoints.Endpoint) {
	checkCtx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	reply := s.checker.HealthCheck(checkCtx, ToCoreEndpoint(endpoint))
	observation, isMeaningful := ObservationOf(reply.Result, reply.Draining)
	if !isMeaningful {
		if errors.Is(ctx.Err(), context.Canceled) {
			return
		}
		observation = endpoints.TimedOut
	}
	if observation == endpoints.Answered && s.isOverloaded(reply.Report) {
		observation = endpoints.AnsweredLate
	}
	s.apply(func(now time.Time, list *endpoints.List) { list.HandleHealthCheck(now, endpoint.ID, observation) })
}

// isOverloaded reports whether a load report has a CPU utilization above maxUtilization.
func (s *Syncer) isOverloaded(report []float64) bool {
	field := s.options.UtilizationField - 1
	return field >= 0 && field < len(report) && report[field] > maxUtilization
}
