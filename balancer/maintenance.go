package balancer

import (
	"slices"

	"oakthread/outlier"
)

const (
	// maintenanceRounds is the number of maintenance rounds per shortest latency objective.
	maintenanceRounds = 8
	// idleObjectives is the time without requests, in shortest latency objectives, after which the
	// maintenance rounds stop.
	idleObjectives = 2 * outlier.MaxEjectionFactor
)

// advanceClock sets the clock to the time of an event, detects a stall of the process, and
// schedules the next maintenance round.
func (b *Balancer) advanceClock(now int64) {
	b.observeTime(now)
	if b.timers.maintenanceAt == 0 {
		b.timers.maintenanceAt = b.now + b.shortestObjective/maintenanceRounds
		b.pruneActive(b.now)
		b.schedule(b.timers.maintenanceAt, nil)
	}
}

// observeTime sets the clock to the time of an event and detects a stall of the process.
func (b *Balancer) observeTime(now int64) {
	b.now = max(b.now, now)
	b.compensateStall(b.now)
}

// compensateStall detects a stall of the process and extends the time until every attempt in flight
// is overdue by the length of the stall, which is not the workers' fault.
func (b *Balancer) compensateStall(now int64) {
	late, stalled := b.timers.detectStall(now, b.shortestObjective/maintenanceRounds)
	if !stalled {
		return
	}
	for _, worker := range b.endpoints.workersInUse(now) {
		for _, attempt := range worker.inFlight {
			attempt.dueAt += late
		}
	}
}

// HandleTimer handles the firing of the host's timer. The generation is the ref that was passed to
// Host.SetTimer.
func (b *Balancer) HandleTimer(now int64, generation int64) {
	if b.timers.nextIsLeaseRound() {
		b.observeTime(now)
	} else {
		b.advanceClock(now)
	}
	b.timers.expired(generation)
	for {
		entry, due := b.timers.popDue(now)
		if !due {
			break
		}
		if entry.leases {
			b.runLeaseRound(now)
			continue
		}
		b.handleDue(now, entry.request)
	}
	b.armTimer()
}

// handleDue processes a request whose timer entry is due, or runs maintenance if request is nil.
func (b *Balancer) handleDue(now int64, request *requestState) {
	switch {
	case request == nil:
		b.runMaintenance(now)
	case request.done || request.streaming:
	case now >= b.answerBy(request):
		b.finish(now, request, EndedByDeadline)
	case now >= request.recheckAt:
		request.recheckAt = noDeadline
		b.handleOverdue(now, request)
	}
}

// schedule adds a timer entry for a request, or for maintenance if request is nil.
func (b *Balancer) schedule(at int64, request *requestState) {
	b.timers.entries.push(timerEntry{at: at, request: request})
}

// scheduleRecheck schedules a recheck of a request, unless the request must be answered before.
func (b *Balancer) scheduleRecheck(request *requestState, at int64) {
	request.recheckAt = at
	if at < b.answerBy(request) {
		b.schedule(at, request)
	}
}

// armTimer sets the host's timer for the first timer entry if that is due before the current timer
// fires.
func (b *Balancer) armTimer() {
	if delay, changed := b.timers.rearm(b.now); changed {
		b.host.SetTimer(delay, b.timers.generation)
	}
}

// runMaintenance runs one maintenance round. It schedules no further round once there have been no
// requests for idleObjectives, unless the endpoint list is polled.
func (b *Balancer) runMaintenance(now int64) {
	b.pollEndpoints(now)
	b.sendGossip(now)
	b.renewLeases(now)
	b.watchForPeers(now)
	if now-b.timers.sweptAt > b.settings.KeepAlive/maintenanceRounds {
		b.timers.sweptAt = now
		b.unloadIdleCopies(now)
		b.sweep(now)
	}
	b.timers.maintenanceAt = 0
	if now-b.timers.lastRequestAt < idleObjectives*b.shortestObjective || b.settings.PollEndpoints {
		b.advanceClock(now)
	}
}

// sweep drops expired holders, reports and failures, and workers that are neither listed nor in
// use, so that memory stays bounded.
func (b *Balancer) sweep(now int64) {
	b.holders.sweep(now, b.settings.LoadOrderTimeout, b.settings.KeepAlive+int64(b.decayTime()))
	// Announcements may remain unsent if messages are expensive or there are no other dispatchers.
	b.gossip.announcements = slices.DeleteFunc(b.gossip.announcements, func(holder *holderState) bool {
		return !holder.copyExpected(now)
	})
	b.slowStart.sweep(now, len(b.endpoints.listed))
	b.gossip.reports.sweep(now, b.shortestObjective, &b.endpoints)
	for _, worker := range b.endpoints.activeWorkers() {
		worker.dropOldFailures(now)
	}
	b.endpoints.sweep()
	b.timers.sweep()
}

// pruneActive removes workers from the recently active ones that are not listed or have had no
// activity to report for some time. In a long list, it also discards what other dispatchers
// reported about such a worker, since that is outdated.
func (b *Balancer) pruneActive(now int64) {
	b.endpoints.recent = slices.DeleteFunc(b.endpoints.recent, func(worker *workerState) bool {
		if b.hasActivity(now, worker) && worker.listed {
			return false
		}
		worker.lastActivityAt = 0
		if b.endpoints.isLong() {
			worker.reported = reportedState{voidThrough: b.gossip.reports.messages}
		}
		return true
	})
}

// hasActivity reports whether there is anything to report to other dispatchers about a worker.
func (b *Balancer) hasActivity(now int64, worker *workerState) bool {
	_, marked := b.outliers.Mark(now, &worker.outlierStats, b.relativeLatency(now, worker))
	recent := now-worker.lastActivityAt < recentResponseObjectives*b.shortestObjective
	return recent || len(worker.inFlight) > 0 || b.isEjected(worker) || marked
}
