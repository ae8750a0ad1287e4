// Package admin holds what operators change in a running dispatcher: the workers ejected manually
// and whether the dispatcher is in service.
//
// It is a pure state machine without sockets, clocks, files or goroutines: its inputs are endpoint
// updates and operator requests, its outputs are endpoint updates for the core. It does not select
// workers for calls. A manual ejection only makes the worker draining in the endpoint list of the
// core, which package balancer respects for attempts, retries and load orders.
package admin

import (
	"maps"
	"slices"
	"time"

	"oakthread"
	"oakthread/balancer"
)

// State is the administrative state of one dispatcher. The zero value is in service, with no worker
// listed or ejected. It is not safe for concurrent use.
type State struct {
	listed       map[balancer.WorkerID]oakthread.Endpoint // from the endpoint list, ejected or not
	ejected      map[balancer.WorkerID]bool               // manually
	outOfService bool
}

// UpdateEndpoints applies an update of the endpoint list and returns the update for the core, in
// which an ejected worker that the list has as active is draining.
func (s *State) UpdateEndpoints(update oakthread.EndpointUpdate) oakthread.EndpointUpdate {
	if s.listed == nil {
		s.listed = map[balancer.WorkerID]oakthread.Endpoint{}
	}
	if update.Kind == balancer.EndpointsSnapshot || update.Kind == balancer.EndpointsCached {
		clear(s.listed)
	}
	adjusted := oakthread.EndpointUpdate{
		Kind:      update.Kind,
		Endpoints: make([]oakthread.Endpoint, 0, len(update.Endpoints)),
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == balancer.Removed {
			delete(s.listed, endpoint.ID)
		} else {
			s.listed[endpoint.ID] = endpoint
		}
		adjusted.Endpoints = append(adjusted.Endpoints, s.adjust(endpoint))
	}
	return adjusted
}

// adjust returns the endpoint for the core: an active endpoint is draining if its worker is
// ejected.
func (s *State) adjust(endpoint oakthread.Endpoint) oakthread.Endpoint {
	if s.ejected[endpoint.ID] && endpoint.State == balancer.Active {
		endpoint.State = balancer.Draining
	}
	return endpoint
}

// Eject ejects a worker until Restore and returns the update for the core, which is empty if the
// worker is not listed. Ejecting a worker again has no further effect. For an id that is neither
// listed nor ejected ok is false and nothing changes.
func (s *State) Eject(id balancer.WorkerID) (update oakthread.EndpointUpdate, ok bool) {
	if _, listed := s.listed[id]; !listed && !s.ejected[id] {
		return update, false
	}
	return s.eject(id), true
}

// Restore ends an ejection, regardless of the number of Eject calls before, and returns the update
// for the core. The worker is assumed to have been restarted meanwhile: the update says that it
// started at now, so that no function counts as loaded on it. ok is false for an id that is neither
// listed nor ejected.
func (s *State) Restore(id balancer.WorkerID, now time.Time) (update oakthread.EndpointUpdate, ok bool) {
	endpoint, listed := s.listed[id]
	wasEjected := s.ejected[id]
	if !listed && !wasEjected {
		return update, false
	}
	delete(s.ejected, id)
	update.Kind = balancer.EndpointsDelta
	if listed && wasEjected {
		endpoint.Start = now
		s.listed[id] = endpoint
		update.Endpoints = []oakthread.Endpoint{endpoint}
	}
	return update, true
}

// SetEjected replaces the set of ejected workers with that of another process, such as the previous
// version in an upgrade or one that runs alongside this process, and returns the update for the
// core. Workers that are no longer in the set are restored as by Restore at now.
func (s *State) SetEjected(ejected []balancer.WorkerID, now time.Time) (update oakthread.EndpointUpdate) {
	update.Kind = balancer.EndpointsDelta
	for _, id := range ejected {
		if !s.ejected[id] {
			update.Endpoints = append(update.Endpoints, s.eject(id).Endpoints...)
		}
	}
	for _, id := range s.Ejected() {
		if !slices.Contains(ejected, id) {
			restored, _ := s.Restore(id, now)
			update.Endpoints = append(update.Endpoints, restored.Endpoints...)
		}
	}
	return update
}

// eject marks a worker as ejected and returns the update for the core, which is empty if the worker
// is not listed.
func (s *State) eject(id balancer.WorkerID) (update oakthread.EndpointUpdate) {
	if s.ejected == nil {
		s.ejected = map[balancer.WorkerID]bool{}
	}
	s.ejected[id] = true
	update.Kind = balancer.EndpointsDelta
	if endpoint, ok := s.listed[id]; ok {
		update.Endpoints = []oakthread.Endpoint{s.adjust(endpoint)}
	}
	return update
}

// Ejected returns the ids of the manually ejected workers, in ascending order.
func (s *State) Ejected() []balancer.WorkerID {
	return slices.Sorted(maps.Keys(s.ejected))
}

// CountWorkers returns the number of listed workers, and how many of them receive no calls because
// they are ejected manually, not active in the endpoint list, or in autoEjected, the workers that
// the balancer has ejected.
func (s *State) CountWorkers(autoEjected []balancer.WorkerID) (listed, unavailable int) {
	for id, endpoint := range s.listed {
		listed++
		if s.ejected[id] || endpoint.State != balancer.Active || slices.Contains(autoEjected, id) {
			unavailable++
		}
	}
	return listed, unavailable
}

// TakeOutOfService takes the dispatcher out of service: Ready is false until ReturnToService.
func (s *State) TakeOutOfService() { s.outOfService = true }

// ReturnToService returns the dispatcher to service.
func (s *State) ReturnToService() { s.outOfService = false }

// Ready reports whether the dispatcher may receive client requests: the core is ready, and
// operators have not taken the dispatcher out of service.
func (s *State) Ready(coreReady bool) bool { return coreReady && !s.outOfService }
