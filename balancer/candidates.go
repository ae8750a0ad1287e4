package balancer

import (
	"math"

	"oakthread/lease"
)

const (
	// ringWindow is how many places on the ring a choice in a long list examines, and how many
	// holders at most.
	ringWindow = 16
	// targetConcurrencyUse is the share of a copy's concurrency that is used on average where a
	// function has as many places as it needs.
	targetConcurrencyUse = 0.5
)

// examinedWorkers is what a choice examines.
type examinedWorkers struct {
	workers        []*workerState
	preferred      int     // the first so many are the function's places
	representative int     // the first so many represent the list
	placesShare    float64 // of the function's places that it needs
}

// workersToExamine returns the workers that a choice examines: of a short list all. Of a long one a
// window of the ring that is the same at all dispatchers (a hot function has several windows, each
// dispatcher one of them), a random sample, and believed holders; the lightest worker and those due
// for a trial are found only among these.
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

// appendTracked appends workers of a long list whose leases are renewed, from a random one on: while
// workers are watched, most of those that a sample draws may not be used.
func (b *Balancer) appendTracked(workers []*workerState) []*workerState {
	tracked := b.endpoints.workersWithHolders()
	first := b.rng.IntN(len(tracked) + 1)
	for i := range min(len(tracked), sampleSize) {
		workers = append(workers, tracked[(first+i)%len(tracked)])
	}
	return workers
}

// appendHolders appends the workers of a bounded number of holders, from a random one on.
func (b *Balancer) appendHolders(workers []*workerState, holders []*holderState) []*workerState {
	first := b.rng.IntN(len(holders) + 1)
	for i := range min(len(holders), ringWindow) {
		workers = append(workers, holders[(first+i)%len(holders)].worker)
	}
	return workers
}

// placesNeeded returns how many workers the calls of a function need, by Little's law: what this
// dispatcher sends, taken for the share of every one, at the targeted use of one copy each. The
// call at hand does not count, nor, of many dispatchers, what may be chance: else functions that
// each calls once or twice would look hot to all.
func (b *Balancer) placesNeeded(now int64, request *requestState) float64 {
	function := request.function
	window := float64(b.callRateWindow())
	// A dispatcher that started lately has seen less than a window.
	observed := window * (1 - math.Exp(-float64(now-b.startedAt+b.shortestObjective/2)/window))
	calls := function.recentCalls.valueAt(now, window)
	calls = max(0, calls-(1-1/b.fleetFactor())*math.Sqrt(calls))
	perPlace := targetConcurrencyUse * float64(function.concurrency)
	return calls / observed * float64(b.settings.Dispatchers) * b.latencies[request.Class].mean / perPlace
}
