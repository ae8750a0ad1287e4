// Package endpoints maintains a dispatcher's list of endpoints: what service discovery reported
// about each worker, and the results of requests to the worker since then. It lets a dispatcher
// start from a cached list while service discovery is unavailable.
//
// A List is a single-threaded state machine: methods take events with the current time, TakeActions
// returns the side effects to carry out. It has no clock and no goroutines, and does no I/O.
// Selecting a worker for a request is left to package balancer.
package endpoints

import (
	"math/rand/v2"
	"slices"
	"time"

	"oakthread/balancer"
)

// randStream separates the list's random numbers from those of other components with the same seed.
const randStream = 0x726f7374

// List is the list of endpoints. Create one with New. It is not safe for concurrent use.
type List struct {
	config            Config
	rng               *rand.Rand
	entries           map[balancer.WorkerID]*listEntry
	sorted            []*listEntry // by ID
	history           History
	watch             watchState
	slowStart         slowStart
	pending           Actions
	hasPublished      bool // whether the load balancer has received a list
	runningChecks     int
	reportedExhausted bool // whether reportExhaustion has logged since the watch was last live
}

// New returns an empty List.
func New(config Config) *List {
	return &List{
		config:  config.withDefaults(),
		rng:     rand.New(rand.NewPCG(config.Seed, randStream)),
		entries: map[balancer.WorkerID]*listEntry{},
	}
}

// insert adds an endpoint that is not in the list yet.
func (l *List) insert(endpoint Endpoint) *listEntry {
	entry := &listEntry{Endpoint: endpoint, evidence: evidence{confidence: 1}}
	l.entries[endpoint.ID] = entry
	i, _ := slices.BinarySearchFunc(l.sorted, entry, compareByID)
	l.sorted = slices.Insert(l.sorted, i, entry)
	return entry
}

// remove deletes an endpoint that service discovery no longer reports. It does nothing if entry is
// nil.
func (l *List) remove(now time.Time, entry *listEntry) {
	if entry == nil {
		return
	}
	l.history.recordEvent(now, entry.ID, Left)
	l.requestSave(true)
	if entry.isPublished {
		entry.State = balancer.Removed
		entry.verification = Reported
		l.publishRemoval(entry)
	}
	delete(l.entries, entry.ID)
	l.sorted = slices.DeleteFunc(l.sorted, func(other *listEntry) bool { return other == entry })
}

// IsLive reports whether the list is in sync with service discovery over a live watch.
func (l *List) IsLive() bool { return l.watch.live }

// Cursor returns the number of the last watch event that was applied.
func (l *List) Cursor() int64 { return l.watch.cursor }

// Epoch returns the epoch of the event numbers of service discovery. Cursor belongs to it.
func (l *List) Epoch() string { return l.watch.epoch }

// InSlowStart reports whether slow start limits the admission of requests.
func (l *List) InSlowStart() bool { return l.slowStart.active }

// UsableCount returns the number of endpoints to which the load balancer may send new requests.
func (l *List) UsableCount() int {
	count := 0
	for _, entry := range l.sorted {
		if l.isUsable(entry) && entry.verification != Draining && entry.State == balancer.Active {
			count++
		}
	}
	return count
}
