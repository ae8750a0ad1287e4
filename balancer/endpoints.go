package balancer

import (
	"math/rand/v2"
	"slices"

	"oakthread/ring"
)

const (
	// defaultFullScanLimit is the length up to which a list is scanned in full for each choice.
	defaultFullScanLimit = 256
	// sampleSize is how many workers are drawn to stand for a long list. With ringWindow others,
	// one of them is of the lightest tenth in 28 choices of 29.
	sampleSize = 16
)

// endpointTable holds the workers and, of a long list, those that a choice or a round has to look
// at.
type endpointTable struct {
	fullScanLimit int
	byID          map[WorkerID]*workerState // also removed ones with attempts in flight
	byTag         map[uint16]*workerState
	listed        []*workerState // active or draining, in order of arrival
	active        []*workerState // of these the active ones, as the ring has them
	ring          ring.Ring[*workerState]

	inUse       []*workerState // with attempts of ours in flight or failed just now
	recent      []*workerState // that something concerned lately
	withHolders []*workerState // that may be believed to hold copies
	sampled     []*workerState // scratch of a sample

	medianPeerCalls float64 // of the calls in flight from other dispatchers at a worker
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

// apply takes an entry of the endpoint list and returns its worker. A worker that restarted begins
// anew.
func (t *endpointTable) apply(now int64, endpoint Endpoint) *workerState {
	worker := t.byID[endpoint.Worker]
	if worker == nil {
		worker = &workerState{pacing: pacing{pace: 1}}
		t.byID[endpoint.Worker], t.byTag[workerTag(endpoint.Worker)] = worker, worker
	} else if endpoint.Start != worker.Start && endpoint.Start > 0 {
		worker.beginAnew()
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

// retain unlists the workers that a complete list does not name.
func (t *endpointTable) retain(endpoints []Endpoint) {
	named := make(map[WorkerID]bool, len(endpoints))
	for _, endpoint := range endpoints {
		named[endpoint.Worker] = true
	}
	for _, worker := range t.listed {
		worker.listed = worker.listed && named[worker.Worker]
	}
}

// dropUnlisted takes the workers that are no longer listed out of the list and of the ring.
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

// sweep forgets the workers that are neither listed nor in use.
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

// markActive takes that a call, a response or a message concerns a listed worker.
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

// markInUse takes that an attempt of ours is in flight at a worker, or has just ended there.
func (t *endpointTable) markInUse(now int64, worker *workerState) {
	t.markActive(now, worker)
	if !worker.trackedInUse {
		worker.trackedInUse, t.inUse = true, append(t.inUse, worker)
	}
}

// workersInUse lists the workers, listed or not, with attempts of ours in flight or counted as
// such.
func (t *endpointTable) workersInUse(now int64) []*workerState {
	t.inUse = slices.DeleteFunc(t.inUse, func(worker *workerState) bool {
		worker.trackedInUse = len(worker.inFlight) > 0 || worker.failuresAt(now) > 0
		return !worker.trackedInUse
	})
	return t.inUse
}

// activeWorkers lists the workers of which there may be something to report: of a short list all,
// of a long one those that something concerned lately, so that a round costs what was done and not
// what is listed.
func (t *endpointTable) activeWorkers() []*workerState {
	if !t.isLong() {
		return t.listed
	}
	return t.recent
}

// isActive reports whether activeWorkers lists a worker.
func (t *endpointTable) isActive(worker *workerState) bool {
	if !t.isLong() {
		return worker.inTable
	}
	return worker.lastActivityAt != 0
}

// trackHolders takes that a worker may come to be believed to hold copies.
func (t *endpointTable) trackHolders(worker *workerState) {
	if !worker.trackedHolder {
		worker.trackedHolder, t.withHolders = true, append(t.withHolders, worker)
	}
}

// workersWithHolders lists the workers that may be believed to hold copies: of a short list all.
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

// sample lists workers that stand for all: of a short list all, of a long one some drawn at random.
// The result is valid until the next sample or choice.
func (t *endpointTable) sample(rng *rand.Rand) []*workerState {
	if !t.isLong() {
		return t.listed
	}
	t.sampled = t.appendSample(t.sampled[:0], rng)
	return t.sampled
}

// appendSample appends workers drawn from the active ones, some perhaps twice. Draining ones are
// left out: in a rollout they may be a third of the list.
func (t *endpointTable) appendSample(workers []*workerState, rng *rand.Rand) []*workerState {
	for range min(sampleSize, len(t.active)) {
		workers = append(workers, t.active[rng.IntN(len(t.active))])
	}
	return workers
}
