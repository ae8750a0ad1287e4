// Package admin holds what the operators have changed of a running dispatcher: the workers taken
// out by hand, whether the dispatcher is in service, and the table of classes across reloads of the
// settings.
//
// It is a pure state machine without socket, clock, file or goroutine: endpoint updates and the
// operators' calls come in, and the endpoint updates for the core come out. It chooses no worker
// for a call. An ejection by hand only has the core see the worker as draining, which package
// balancer obeys for attempts, retries and load orders.
package admin

import (
	"maps"
	"slices"
	"time"

	"oakthread"
	"oakthread/balancer"
)

// State is the operators' side of one dispatcher. The zero value is in service, with no worker
// listed or ejected. It is not safe for concurrent use.
type State struct {
	listed       map[balancer.WorkerID]oakthread.Endpoint // as the endpoint list has them, whether ejected or not
	ejected      map[balancer.WorkerID]bool               // by hand
	outOfService bool
}

// UpdateEndpoints takes an update of the endpoint list and returns it as the core is to see it: an
// ejected worker is draining, whatever the list says of it.
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

// adjust returns an endpoint as the core is to see it.
func (s *State) adjust(endpoint oakthread.Endpoint) oakthread.Endpoint {
	if s.ejected[endpoint.ID] && endpoint.State == balancer.Active {
		endpoint.State = balancer.Draining
	}
	return endpoint
}

// Eject ejects a worker until Restore, and returns the update for the core, empty where the worker
// is not listed. ok is false, and nothing changes, for an id that is neither listed nor ejected. A
// second Eject changes nothing.
func (s *State) Eject(id balancer.WorkerID) (update oakthread.EndpointUpdate, ok bool) {
	if _, listed := s.listed[id]; !listed && !s.ejected[id] {
		return update, false
	}
	return s.eject(id), true
}

// Restore ends an ejection, however many Eject calls came before, and returns the update for the
// core. The operators have restarted the worker meanwhile: the core sees it as started at now, so
// that no function counts as loaded there. ok is false for an id that is neither listed nor
// ejected.
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

// SetEjected replaces the set of ejected workers by that of another process, such as the version before
// an upgrade or the one beside this one, and returns the update for the core. Workers that are no
// longer in the set are restored as by Restore at now.
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

// eject marks a worker as ejected and returns the update for the core, empty where the worker is
// not listed.
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

// Ejected returns the ids of the workers ejected by hand, in order.
func (s *State) Ejected() []balancer.WorkerID {
	return slices.Sorted(maps.Keys(s.ejected))
}

// CountMembers returns the number of listed workers, and of those among them that get no calls: ejected
// by hand, draining by the list, or among autoEjected, those that the balancer has ejected.
func (s *State) CountMembers(autoEjected []balancer.WorkerID) (listed, unavailable int) {
	for id, endpoint := range s.listed {
		listed++
		if s.ejected[id] || endpoint.State != balancer.Active || slices.Contains(autoEjected, id) {
			unavailable++
		}
	}
	return listed, unavailable
}

// TakeOutOfService takes the dispatcher out of service: Ready is false until it is returned to service.
func (s *State) TakeOutOfService() { s.outOfService = true }

// ReturnToService returns the dispatcher to service.
func (s *State) ReturnToService() { s.outOfService = false }

// Ready reports whether the front may send clients: the core is ready, and the operators have not
// taken the dispatcher out of service.
func (s *State) Ready(coreReady bool) bool { return coreReady && !s.outOfService }
