package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

var startTime = time.Unix(1_800_000_000, 0)

// testEndpoint returns an active endpoint that started an hour before startTime.
func testEndpoint(id int) Endpoint {
	return Endpoint{
		ID: balancer.WorkerID(id), Addr: "127.0.0.1:1", State: balancer.Active, Weight: 2,
		Start: startTime.Add(-time.Hour), RequestRate: 10,
	}
}

// cachedSnapshot returns a snapshot of the given age at startTime.
func cachedSnapshot(age time.Duration, endpoints ...Endpoint) Snapshot {
	saved := startTime.Add(-age)
	return Snapshot{Epoch: "e1", Cursor: 7, ConfirmedAt: saved, SavedAt: saved, Endpoints: endpoints}
}

// balancerView is the endpoint list of the load balancer, built from the publications.
type balancerView map[balancer.WorkerID]Endpoint

// take applies the list's publications and returns all its actions.
func (v balancerView) take(list *List) Actions {
	actions := list.TakeActions()
	for _, publication := range actions.Publications {
		if publication.Kind != balancer.EndpointsDelta {
			clear(v)
		}
		for _, endpoint := range publication.Endpoints {
			if endpoint.State == balancer.Removed {
				delete(v, endpoint.ID)
			} else {
				v[endpoint.ID] = endpoint
			}
		}
	}
	return actions
}

// active returns the IDs of the active endpoints in order.
func (v balancerView) active() []int {
	var ids []int
	for id, endpoint := range v {
		if endpoint.State == balancer.Active {
			ids = append(ids, int(id))
		}
	}
	slices.Sort(ids)
	return ids
}

// runHealthChecks ticks the list for the duration, ends every health check with the result of
// observe, and returns the number of checks of each worker.
func runHealthChecks(list *List, view balancerView, from time.Time, duration time.Duration,
	observe func(Endpoint) Observation,
) map[balancer.WorkerID]int {
	checks := map[balancer.WorkerID]int{}
	for now := from; now.Before(from.Add(duration)); now = now.Add(5 * time.Millisecond) {
		list.Tick(now)
		for _, endpoint := range view.take(list).HealthChecks {
			checks[endpoint.ID]++
			list.HandleHealthCheck(now, endpoint.ID, observe(endpoint))
		}
		view.take(list)
	}
	return checks
}

// answered is the observation of a worker that answers every health check.
func answered(Endpoint) Observation { return Answered }
