package lab

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"runtime/metrics"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// hollowWorld is the state of a hollow run in addition to the simulated world.
type hollowWorld struct {
	*simWorld
	hollowCalls
	hollowDigests
	hollowChanges
	hollowHeap
	size        HollowSize
	seed        uint64
	meter       meter
	err         error
	rng         *rand.Rand
	from, until time.Time // the span
	restarts    uint64    // restarts so far
	split       bool      // whether the two halves of the dispatchers drop each other's messages
	oversize    int       // oversize messages before the span
}

// hollowCalls counts the calls of the span; openCalls also includes calls of the warm-up.
type hollowCalls struct {
	offeredValue, earnedValue    float64
	calls, unserved, loads, open int
	loadWaits                    []float64 // s
}

// hollowDigests counts the digests that dispatchers received.
type hollowDigests struct {
	term           int64         // length in ns
	lastDigestTerm []int64       // last term in which each dispatcher received or wrote a digest
	digestHolders  map[int64]int // dispatchers with a digest, by term
}

// hollowChanges is the state of list changes.
type hollowChanges struct {
	delay               []time.Duration // notification delay of each dispatcher
	changed             []time.Time     // last change of each worker
	drainedWorkers      []int           // drained workers, oldest first, and when they drained
	drainedAt           []time.Time
	slowestNotification time.Duration // slowest notification of a dispatcher
	fullListTime        int64         // ns that full lists took before the span
}

// hollowHeap is the state for explicit garbage collections.
type hollowHeap struct {
	live    uint64 // heap bytes after the last collection
	samples []metrics.Sample
}

// messageKind is the kind of a message.
type messageKind struct{ digest, report bool }

// hollowFigures sizes the workers: cores for a utilization of hollowUtilization, and memory for
// hollowCopies instances per function.
func hollowFigures(size HollowSize) *Figures {
	figures := PlannerFigures()
	work := 0.0
	for _, class := range figures.Classes {
		work += class.Share * class.Work.Seconds()
	}
	figures.Worker.Cores = max(1,
		int(math.Ceil(size.Calls*float64(size.Dispatchers)/float64(size.Executors)*work/hollowUtilization)))
	figures.Worker.Queue = 16 * figures.Worker.Cores
	figures.Worker.MaxCopies = max(figures.Worker.MaxCopies,
		int(math.Ceil(hollowCopies*float64(size.Functions)/float64(size.Executors))))
	return figures
}

// newHollow builds the world of a run; if ctx is done, it stops and returns its error.
func newHollow(ctx context.Context, size HollowSize, seed uint64) (*hollowWorld, error) {
	w := &simWorld{
		f: hollowFigures(size), byID: map[balancer.WorkerID]*simWorker{}, popular: newZipf(size.Functions, size.Zipf),
		simGossip: simGossip{messages: true, lossRate: size.Lost, lossRNG: rand.New(rand.NewPCG(seed, 3))},
		load:      Load{Rate: size.Calls, Models: size.Functions, Zipf: size.Zipf, Retries: 2},
	}
	w.now = time.Unix(1_800_000_000, 0)
	w.began = w.now
	h := &hollowWorld{
		simWorld: w, size: size, seed: seed, rng: rand.New(rand.NewPCG(seed, 4)), from: w.now.Add(size.Warm),
		meter: newMeter(size.Dispatchers),
		hollowDigests: hollowDigests{
			term: leaderTerm * int64(w.f.Classes[0].LatencyObjective), lastDigestTerm: make([]int64, size.Dispatchers),
			digestHolders: map[int64]int{},
		},
		hollowHeap: hollowHeap{samples: []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}},
	}
	h.until = h.from.Add(size.Span)
	w.hollow = h
	w.price, w.fullScanLimit = size.PeerPrice, size.Walk
	if size.Before {
		w.fullScanLimit = math.MaxInt
	}
	for i := range size.Executors {
		worker := w.add(i, w.began.Add(-time.Hour))
		worker.zone = i % 10
		w.listed = append(w.listed, endpoints.Endpoint{
			ID: worker.id, Zone: worker.zone, State: balancer.Active, Weight: 2,
			Start: w.began.Add(-time.Hour),
		})
	}
	h.changed = make([]time.Time, size.Executors)
	w.nodes = make([]*simNode, size.Dispatchers)
	for n := range w.nodes {
		h.delay = append(h.delay, time.Duration(mix64(seed<<20^uint64(n))%uint64(notifyDelay)))
		if err := errors.Join(ctx.Err(), h.start(n)); err != nil {
			return nil, err
		}
		if h.collect() {
			h.checkMemory()
		}
		if h.err != nil {
			return nil, h.err
		}
	}
	if size.Calls > 0 {
		for n := range w.nodes {
			h.clients(n, rand.New(rand.NewPCG(seed, uint64(n)<<8)), 0)
		}
	}
	if size.ListEvents > 0 {
		for at := range ticks(h.from, h.until, size.ListEvents) {
			w.at(at, func() { h.changeList(nil) })
		}
	}
	h.fault()
	return h, nil
}

// ticks yields evenly spaced times between from and until, rate per second.
func ticks(from, until time.Time, rate float64) func(func(time.Time) bool) {
	return func(yield func(time.Time) bool) {
		for i := 0; ; i++ {
			at := from.Add(time.Duration((float64(i) + 0.5) / rate * float64(time.Second)))
			if !at.Before(until) || !yield(at) {
				return
			}
		}
	}
}
