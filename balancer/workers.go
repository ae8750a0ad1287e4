package balancer

// This file owns the list of workers.

import (
	"slices"

	"oakthread/outlier"
)

// pollEndpoints keeps a roster that must be asked for within AskWithin, again after failures at a bounded rate.
func (d *Balancer) pollEndpoints(now int64) {
	if d.set.PollEndpoints && !d.watching && now >= d.askAt {
		d.askAt = now + max(d.set.PollInterval/4, d.minAim)
		d.watching = true
		d.host.SubscribeEndpoints()
	}
}

// worker's fields that each choice reads stand first: a candidate of a long list is in no cache.
type worker struct {
	Endpoint
	examinedIn       int     // the last choice that looked at it, and whether it was well then
	candidateIn      int     // the last choice that it may have
	choiceLoad       float64 // load in that
	choiceHealthy    bool
	listed           bool
	responded        bool            // an answer has come since it was listed or restarted
	inFlight         []*attempt      // in order of sending
	recentFailures   []recentFailure // failed attempts stay in the load for a while
	lastResponseAt   int64
	reportedSilentAt int64   // a digest told that it answers nobody
	peerCalls        float64 // requests of other dispatchers, by reports
	peerCallsAt      int64
	pace             float64 // its time for a call at a loaded copy, in the mean of all; 1 at the least
	paceAt           int64
	peerPace         float64 // the same as others tell it: it weighs, and is never told on
	peerPaceAt       int64
	outlierStats     outlier.Stats

	slowStartSlot    int64 // the draw of the cold budget in force, and what is left of it
	slowStartTokens  int
	inTable          bool  // it is in Dispatcher.list
	trackedInUse     bool  // it is in Dispatcher.used
	trackedHolder    bool  // it is in Dispatcher.holders
	trackedWarmingUp bool  // it is in Dispatcher.young
	lastActivityAt   int64 // when a call, an answer or a message last concerned it; 0: not in Dispatcher.touched
	holders          []*holder
	reported         reportedState // of what the others told of it
}

func (d *Balancer) applyEndpoint(e Endpoint) {
	w := d.workers[e.Worker]
	if w == nil {
		w = &worker{pace: 1}
		d.workers[e.Worker], d.tags[workerTag(e.Worker)] = w, w
	} else if e.Start != w.Start && e.Start > 0 {
		d.forgetCopies(w)
		w.slowStartSlot = 0
		w.outlierStats.Reset()
	}
	w.Endpoint, w.listed = e, e.State != Removed
	if w.listed && !w.inTable {
		w.inTable, d.list = true, append(d.list, w)
		d.markActive(d.now, w)
	}
	if e.State != Active && d.ring.Remove(uint32(w.Worker)) {
		d.on = slices.DeleteFunc(d.on, func(x *worker) bool { return x == w })
	} else if e.State == Active && d.ring.Add(uint32(w.Worker), w) {
		d.on = append(d.on, w)
	}
	if !w.trackedWarmingUp && d.isWarmingUp(d.now, w) {
		w.trackedWarmingUp, d.young = true, append(d.young, w)
	}
}

// UpdateEndpoints takes news of the workers.
func (d *Balancer) UpdateEndpoints(now int64, kind EndpointUpdateKind, entries []Endpoint) {
	d.advanceClock(now)
	if kind == EndpointsUnavailable {
		d.watching = false
	} else {
		d.askAt = now
		d.watching = d.watching || kind != EndpointsCached
	}
	named := map[WorkerID]bool{}
	for _, e := range entries {
		named[e.Worker] = true
		d.applyEndpoint(e)
	}
	if kind == EndpointsSnapshot || kind == EndpointsCached {
		for _, w := range d.list {
			w.listed = w.listed && named[w.Worker]
		}
	}
	keep := d.list[:0]
	for _, w := range d.list {
		if w.listed {
			keep = append(keep, w)
		} else {
			w.inTable = false
			d.ring.Remove(uint32(w.Worker))
			d.forgetCopies(w)
		}
	}
	d.list = keep
	d.on = slices.DeleteFunc(d.on, func(w *worker) bool { return !w.listed })
	d.pruneActive(now)
	d.pollEndpoints(now)
	for _, r := range d.heap {
		if r.request != nil && len(r.request.attempts) == 0 && !r.request.done {
			r.request.recheckAt = now
		}
	}
	d.armTimer()
}
