package balancer

import (
	"math"

	"oakthread/lease"
)

const (
	// ringWindow is how many positions on the hash ring a choice in a long list examines, and the
	// maximum number of holders that it examines.
	ringWindow = 16
	// targetConcurrencyUse is the average utilization of a copy's concurrency that the number of
	// places of a function, the workers preferred for it, is calculated for.
	targetConcurrencyUse = 0.5
)

// examinedWorkers holds the workers that a choice examines.
type examinedWorkers struct {
	workers        []*workerState
	preferred      int     // length of the prefix that holds the function's places
	representative int     // length of the prefix that is representative of the list
	placesShare    float64 // share of the function's places that its call rate needs
}

// workersToExamine returns the workers that a choice examines. Of a short list these are all
// workers. Of a long list they are a window of the hash ring that is the same at all dispatchers (a
// hot function has several windows, of which each dispatcher uses one), a random sample, and known
// holders; the least loaded worker and workers due for a trial are found only among these.
func (b *Balancer) workersToExamine(now int64, request *requestState) examinedWorkers {
	places := b.placesNeeded(now, request)
	if count := len(b.endpoints.listed); !b.endpoints.isLong() {
		return examinedWorkers{b.endpoints.listed, count, count, places / float64(count)}
	}
	windows, key := max(1, math.Ceil(places/ringWindow)), uint64(request.function.id)
	if own := mix64(key^uint64(b.settings.DispatcherIndex+1)) % uint64(windows); own > 0 {
		key = mix64(key + own)
	}
	workers := b.endpoints.ring.Window(b.choice.examined[:0], mix64(key), 0, ringWindow)
	preferred := len(workers)
	workers = b.endpoints.appendSample(workers, b.rng)
	if b.leases.keeper.Trust(now) >= lease.Outdated {
		workers = b.appendTracked(workers)
	}
	representative := len(workers)
	workers = b.appendHolders(workers, request.function.holders)
	b.choice.examined = workers
	return examinedWorkers{workers, preferred, representative, places / (windows * ringWindow)}
}

// appendTracked appends workers of a long list whose leases are renewed, starting at a random one.
// While the endpoint list is outdated, most workers of a random sample have no lease and may not be
// used.
func (b *Balancer) appendTracked(workers []*workerState) []*workerState {
	tracked := b.endpoints.workersWithHolders()
	first := b.rng.IntN(len(tracked) + 1)
	for i := range min(len(tracked), sampleSize) {
		workers = append(workers, tracked[(first+i)%len(tracked)])
	}
	return workers
}

// appendHolders appends the workers of at most ringWindow holders, starting at a random one.
func (b *Balancer) appendHolders(workers []*workerState, holders []*holderState) []*workerState {
	first := b.rng.IntN(len(holders) + 1)
	for i := range min(len(holders), ringWindow) {
		workers = append(workers, holders[(first+i)%len(holders)].worker)
	}
	return workers
}

// placesNeeded returns how many workers the calls of a function need, by Little's law: the call
// rate of this dispatcher times the number of dispatchers, at the target utilization of one copy
// per worker. The current call is not counted. With many dispatchers up to one standard deviation
// of the number of calls is subtracted as possible chance: otherwise a function that each
// dispatcher calls once or twice would look hot to all of them.
func (b *Balancer) placesNeeded(now int64, request *requestState) float64 {
	function := request.function
	window := float64(b.callRateWindow())
	// A dispatcher that has just started has observed less than a full window.
	observed := window * (1 - math.Exp(-float64(now-b.startedAt+b.shortestObjective/2)/window))
	calls := function.recentCalls.valueAt(now, window)
	calls = max(0, calls-(1-1/b.fleetFactor())*math.Sqrt(calls))
	perPlace := targetConcurrencyUse * float64(function.concurrency)
	return calls / observed * float64(b.settings.Dispatchers) * b.latencies[request.Class].mean / perPlace
}
