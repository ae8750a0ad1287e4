package balancer

import (
	"math/rand/v2"
	"slices"

	"oakthread/ring"
)

const (
	// defaultFullScanLimit is the length up to which a list is scanned in full for each choice.
	defaultFullScanLimit = 256
	// sampleSize is how many workers are drawn at random from a long list. Together with the
	// ringWindow workers found on the ring, 28 choices of 29 include a worker of the least loaded
	// tenth.
	sampleSize = 16
)

// endpointTable holds the workers. For a long list it also tracks the subsets that a choice or a
// maintenance round has to examine.
type endpointTable struct {
	fullScanLimit int
	byID          map[WorkerID]*workerState // including removed workers with attempts in flight
	byTag         map[uint16]*workerState
	listed        []*workerState // active or draining, in the order in which they were added
	active        []*workerState // the active workers of listed, the same set as in ring
	ring          ring.Ring[*workerState]

	inUse       []*workerState // with own attempts in flight or recently failed
	recent      []*workerState // with recent calls, responses or messages
	withHolders []*workerState // that may be expected to hold copies
	sampled     []*workerState // reused buffer of sample

	medianPeerCalls float64 // median over workers of the calls in flight from other dispatchers
}

// newEndpointTable returns an empty table.
func newEndpointTable(fullScanLimit int) endpointTable {
	return endpointTable{
		fullScanLimit: fullScanLimit,
		byID:          map[WorkerID]*workerState{},
		byTag:         map[uint16]*workerState{},
	}
}

// isLong reports whether the list is too long to be scanned in full.
func (t *endpointTable) isLong() bool { return len(t.listed) > t.fullScanLimit }

// apply applies an entry of the endpoint list and returns its worker. What was learned of a worker
// is discarded when it has restarted.
func (t *endpointTable) apply(now int64, endpoint Endpoint) *workerState {
	worker := t.byID[endpoint.Worker]
	if worker == nil {
		worker = &workerState{latencyRatios: latencyRatios{latencyRatio: 1}}
		t.byID[endpoint.Worker], t.byTag[workerTag(endpoint.Worker)] = worker, worker
	} else if endpoint.Start != worker.Start && endpoint.Start > 0 {
		worker.resetProcessState()
	}
	worker.Endpoint, worker.listed = endpoint, endpoint.State != Removed
	if worker.listed && !worker.inTable {
		worker.inTable, t.listed = true, append(t.listed, worker)
		t.markActive(now, worker)
	}
	if endpoint.State != Active && t.ring.Remove(uint32(worker.Worker)) {
		t.active = slices.DeleteFunc(t.active, func(other *workerState) bool { return other == worker })
	} else if endpoint.State == Active && t.ring.Add(uint32(worker.Worker), worker) {
		t.active = append(t.active, worker)
	}
	return worker
}

// retain marks as unlisted the workers that are missing from a complete list.
func (t *endpointTable) retain(endpoints []Endpoint) {
	present := make(map[WorkerID]bool, len(endpoints))
	for _, endpoint := range endpoints {
		present[endpoint.Worker] = true
	}
	for _, worker := range t.listed {
		worker.listed = worker.listed && present[worker.Worker]
	}
}

// dropUnlisted removes the workers that are no longer listed from the list and from the ring.
func (t *endpointTable) dropUnlisted() {
	listed := t.listed[:0]
	for _, worker := range t.listed {
		if worker.listed {
			listed = append(listed, worker)
			continue
		}
		worker.inTable = false
		t.ring.Remove(uint32(worker.Worker))
		worker.forgetCopies()
	}
	t.listed = listed
	t.active = slices.DeleteFunc(t.active, func(worker *workerState) bool { return !worker.listed })
}

// sweep deletes the workers that are neither listed nor have attempts in flight.
func (t *endpointTable) sweep() {
	for id, worker := range t.byID {
		if len(t.byID) == len(t.listed) {
			return
		}
		if worker.listed || len(worker.inFlight) > 0 {
			continue
		}
		delete(t.byID, id)
		if t.byTag[workerTag(id)] == worker {
			delete(t.byTag, workerTag(id))
		}
	}
}

// markActive records that a call, a response or a message concerned a listed worker.
func (t *endpointTable) markActive(now int64, worker *workerState) {
	if !worker.listed {
		return
	}
	if worker.lastActivityAt == 0 {
		t.recent = append(t.recent, worker)
	}
	worker.lastActivityAt = max(now, 1)
	t.trackHolders(worker)
}

// markInUse records that an own attempt is in flight at a worker, or has just ended there.
func (t *endpointTable) markInUse(now int64, worker *workerState) {
	t.markActive(now, worker)
	if !worker.trackedInUse {
		worker.trackedInUse, t.inUse = true, append(t.inUse, worker)
	}
}

// workersInUse returns the workers, listed or not, with own attempts in flight or with failed
// attempts that still count as in flight.
func (t *endpointTable) workersInUse(now int64) []*workerState {
	t.inUse = slices.DeleteFunc(t.inUse, func(worker *workerState) bool {
		worker.trackedInUse = len(worker.inFlight) > 0 || worker.failuresAt(now) > 0
		return !worker.trackedInUse
	})
	return t.inUse
}

// activeWorkers returns the workers that may have something to report: all workers of a short list,
// and of a long list those with recent activity, so that the cost of a round depends on the
// activity and not on the length of the list.
func (t *endpointTable) activeWorkers() []*workerState {
	if !t.isLong() {
		return t.listed
	}
	return t.recent
}

// isActive reports whether activeWorkers includes a worker.
func (t *endpointTable) isActive(worker *workerState) bool {
	if !t.isLong() {
		return worker.inTable
	}
	return worker.lastActivityAt != 0
}

// trackHolders records that a worker may become an expected holder of copies.
func (t *endpointTable) trackHolders(worker *workerState) {
	if !worker.trackedHolder {
		worker.trackedHolder, t.withHolders = true, append(t.withHolders, worker)
	}
}

// workersWithHolders returns the workers that may be expected to hold copies: all workers of a
// short list.
func (t *endpointTable) workersWithHolders() []*workerState {
	if !t.isLong() {
		return t.listed
	}
	t.withHolders = slices.DeleteFunc(t.withHolders, func(worker *workerState) bool {
		worker.trackedHolder = worker.listed && len(worker.holders) > 0
		return !worker.trackedHolder
	})
	return t.withHolders
}

// sample returns all workers of a short list, and of a long list a random sample. The result is
// valid until the next sample or choice.
func (t *endpointTable) sample(rng *rand.Rand) []*workerState {
	if !t.isLong() {
		return t.listed
	}
	t.sampled = t.appendSample(t.sampled[:0], rng)
	return t.sampled
}

// appendSample appends workers drawn with replacement from the active ones. Draining workers are
// excluded, because during a rollout they may be a third of the list.
func (t *endpointTable) appendSample(workers []*workerState, rng *rand.Rand) []*workerState {
	for range min(sampleSize, len(t.active)) {
		workers = append(workers, t.active[rng.IntN(len(t.active))])
	}
	return workers
}
