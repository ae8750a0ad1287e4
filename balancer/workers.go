package balancer

// This file owns the list of workers.

import (
	"slices"

	"oakthread/outlier"
)

// ask keeps a roster that must be asked for within AskWithin, again after failures at a bounded rate.
func (d *Balancer) ask(now int64) {
	if d.set.PollEndpoints && !d.watching && now >= d.askAt {
		d.askAt = now + max(d.set.PollInterval/4, d.minAim)
		d.watching = true
		d.host.SubscribeEndpoints()
	}
}

// worker's fields that each choice reads stand first: a candidate of a long list is in no cache.
type worker struct {
	Endpoint
	looked     int     // the last choice that looked at it, and whether it was well then
	turn       int     // the last choice that it may have
	now        float64 // load in that
	well       bool
	listed     bool
	heard      bool       // an answer has come since it was listed or restarted
	open       []*attempt // in order of sending
	ghosts     []ghost    // failed attempts stay in the load for a while
	lastAnswer int64
	silentAt   int64   // a digest told that it answers nobody
	others     float64 // requests of other dispatchers, by reports
	othersAt   int64
	pace       float64 // its time for a call at a loaded copy, in the mean of all; 1 at the least
	paceAt     int64
	told       float64 // the same as others tell it: it weighs, and is never told on
	toldAt     int64
	health     outlier.Stats

	coldSlot  int64 // the draw of the cold budget in force, and what is left of it
	coldLeft  int
	inList    bool  // it is in Dispatcher.list
	used      bool  // it is in Dispatcher.used
	holder    bool  // it is in Dispatcher.holders
	young     bool  // it is in Dispatcher.young
	touchedAt int64 // when a call, an answer or a message last concerned it; 0: not in Dispatcher.touched
	holds     []*holder
	tally     tally // of what the others told of it
}

func (d *Balancer) entry(e Endpoint) {
	w := d.workers[e.Worker]
	if w == nil {
		w = &worker{pace: 1}
		d.workers[e.Worker], d.tags[tag(e.Worker)] = w, w
	} else if e.Start != w.Start && e.Start > 0 {
		d.unbelieve(w)
		w.coldSlot = 0
		w.health.Reset()
	}
	w.Endpoint, w.listed = e, e.State != Removed
	if w.listed && !w.inList {
		w.inList, d.list = true, append(d.list, w)
		d.touch(d.now, w)
	}
	if e.State != Active && d.ring.Remove(uint32(w.Worker)) {
		d.on = slices.DeleteFunc(d.on, func(x *worker) bool { return x == w })
	} else if e.State == Active && d.ring.Add(uint32(w.Worker), w) {
		d.on = append(d.on, w)
	}
	if !w.young && d.isCold(d.now, w) {
		w.young, d.young = true, append(d.young, w)
	}
}

// UpdateEndpoints takes news of the workers.
func (d *Balancer) UpdateEndpoints(now int64, kind EndpointUpdateKind, entries []Endpoint) {
	d.tick(now)
	if kind == EndpointsUnavailable {
		d.watching = false
	} else {
		d.askAt = now
		d.watching = d.watching || kind != EndpointsCached
	}
	named := map[WorkerID]bool{}
	for _, e := range entries {
		named[e.Worker] = true
		d.entry(e)
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
			w.inList = false
			d.ring.Remove(uint32(w.Worker))
			d.unbelieve(w)
		}
	}
	d.list = keep
	d.on = slices.DeleteFunc(d.on, func(w *worker) bool { return !w.listed })
	d.settle(now)
	d.ask(now)
	for _, r := range d.heap {
		if r.r != nil && len(r.r.tries) == 0 && !r.r.done {
			r.r.wake = now
		}
	}
	d.arm()
}
