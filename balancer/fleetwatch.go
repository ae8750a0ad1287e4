package balancer

const (
	// allDispatchers is the receiver that stands for all other dispatchers.
	allDispatchers = -1
	// watchersPerWorker is how many dispatchers watch each worker for all of them.
	watchersPerWorker = 2
	// watchInterval is after how many nanoseconds a watcher has a worker health checked that it has not
	// seen to accept work.
	watchInterval = int64(2e9)
	// suspicionTimeout is for how many nanoseconds a worker is suspected before it is reported without a
	// rejected call, and confirmInterval the time between its health checks meanwhile.
	suspicionTimeout = int64(800e6)
	confirmInterval  = int64(200e6)
	// watchScanInterval is the least time between two looks for workers that are due for that.
	watchScanInterval = int64(250e6)
	// watchDelay is the time within which a drain is found by the watchers and known to all dispatchers
	// that receive the leaders' notices.
	watchDelay = watchInterval + int64(1e9)
	// reportInterval is the time between two reports of a watcher to the leader, relayInterval the least
	// time from one notice of the leader to one that relays a report, and noticeInterval to any other.
	reportInterval = int64(300e6)
	relayInterval  = int64(300e6)
	noticeInterval = int64(800e6)
	// minNoticeSpan is for how long a dispatcher must receive notices to know each report that stands.
	minNoticeSpan = int64(700e6)
	// maxNoticeGap is the longest time from one notice of a leader to the next: some may have died.
	maxNoticeGap = int64(3e9)
	// watchDuration is for how long watchers go on without a notice that they are to watch.
	watchDuration = int64(5e9)
	// maxWatchedWorkers is up to how many workers in the list are watched.
	maxWatchedWorkers = defaultFullScanLimit
	// maxChecksPerCall is up to how many health checks of watchers for each call of the fleet there is a
	// watch: with few calls a check before each costs less.
	maxChecksPerCall = 0.25
)

// fleetWatch lets many dispatchers share the watch for workers that drain while discovery does not report
// it. Each sees most workers too rarely to notice by itself. So each worker is watched by a few of them, who
// report one that drains to all at once, and then repeatedly to the leader, who relays that to all in its
// notices. A dispatcher that receives the notices takes the workers that they do not name to accept work.
type fleetWatch struct {
	enabled          bool
	watchUntil       int64 // for so long this dispatcher does its part, by the notices of leaders
	noticeReceivedAt int64 // when a notice of a leader last came, or was sent
	noticesSince     int64 // since when they come without a long gap
	peerReportAt     int64 // when a report last came from another dispatcher
	scannedAt        int64
	reportedAt       int64 // to the leader
	noticeSentAt     int64 // when this dispatcher, as the leader, last sent a notice

	suspects      []*workerState // watched workers whose health checks speak against them, not reported yet
	reported      []*workerState // watched workers that are reported, as of the last scan
	pendingRelays []*workerState // reported workers that the leader has yet to relay
}

// newFleetWatch returns the watch of a dispatcher that has received no notice yet. Few dispatchers see enough by
// themselves.
func newFleetWatch(now int64, s *Settings) fleetWatch {
	many := float64(s.Dispatchers) > wellInformedDispatchers
	return fleetWatch{
		enabled:    many && s.Gossip && s.HealthChecks && s.ConfirmInterval > 0,
		watchUntil: now + watchDuration,
	}
}

// recordLeaderNotice takes that a notice of the leader came, or that this dispatcher sent it as the leader.
func (b *Balancer) recordLeaderNotice(now int64, watching bool) {
	w := &b.fleetWatch
	if !w.enabled || !watching {
		return
	}
	w.watchUntil = now + watchDuration
	if w.noticeReceivedAt == 0 || now-w.noticeReceivedAt > maxNoticeGap {
		w.noticesSince = now
	}
	w.noticeReceivedAt = now
	if now-w.noticesSince >= minNoticeSpan && len(b.endpoints.active) <= maxWatchedWorkers {
		b.leases.keeper.SetPeerCoverage(now - watchDelay)
	}
}

// watchRate returns the health checks a second of all watchers.
func (b *Balancer) watchRate() float64 {
	return float64(len(b.endpoints.active)*watchersPerWorker) / float64(watchInterval) * 1e9
}

// fleetShouldWatch reports whether the dispatchers are to watch the workers for each other: those that are
// alive can do so in time, and the fleet has enough calls for the health checks. A dispatcher that started
// lately does not know the calls yet.
func (b *Balancer) fleetShouldWatch(now int64) bool {
	calls := b.fleetSum(completionsColumn) * b.gossip.view.Scale
	return len(b.endpoints.active) <= maxWatchedWorkers &&
		b.watchRate() <= periodicCheckRate/2*float64(b.gossip.elector.AliveCount(now)) &&
		(now-b.startedAt < watchDuration || b.watchRate() <= maxChecksPerCall*calls)
}

// watchForPeers has the workers health checked that this dispatcher watches and that are due for it, and
// reports what it found.
func (b *Balancer) watchForPeers(now int64) {
	w := &b.fleetWatch
	if !w.enabled {
		return
	}
	if now-w.scannedAt >= watchScanInterval && (now < w.watchUntil || b.gossip.elector.Isolated(now)) {
		w.scannedAt = now
		b.scanWatchedWorkers(now)
	}
	b.confirmDrains(now)
	if now-w.reportedAt >= reportInterval && len(w.reported) > 0 {
		w.reportedAt = now
		b.reportToLeader(now)
	}
	sinceNotice := now - w.noticeSentAt
	noticeDue := sinceNotice >= noticeInterval && b.leads(now) && b.receivesPeerReports(now)
	if noticeDue || sinceNotice >= relayInterval && len(w.pendingRelays) > 0 {
		w.noticeSentAt = now
		b.sendLeaderNotice(now)
	}
}

// watches reports whether this dispatcher watches a worker for all.
func (b *Balancer) watches(now int64, worker *workerState) bool {
	return b.gossip.elector.IsSuccessor(now, mix64(uint64(worker.Worker)), watchersPerWorker)
}

// scanWatchedWorkers looks at each worker that this dispatcher watches.
func (b *Balancer) scanWatchedWorkers(now int64) {
	w, l := &b.fleetWatch, &b.leases
	w.reported = w.reported[:0]
	for _, worker := range b.endpoints.active {
		if !b.watches(now, worker) {
			continue
		}
		if b.stillReported(worker) {
			w.reported = append(w.reported, worker)
		}
		if l.keeper.WatchDue(now, &worker.lease, watchInterval) {
			b.startWatchCheck(now, worker)
		}
	}
}

// startWatchCheck has a worker health checked for all dispatchers, as far as the rate of periodic checks
// allows.
func (b *Balancer) startWatchCheck(now int64, worker *workerState) {
	if l := &b.leases; l.checkTokens >= 1 {
		l.checkTokens--
		l.counts.WatchChecks++
		b.startCheck(now, worker)
	}
}

// shouldCheckRejection reports whether this dispatcher has a worker health checked that rejected a call. Of
// many that all may meet the same full worker a few do, as long as their reports reach each other.
func (b *Balancer) shouldCheckRejection(now int64) bool {
	if !b.fleetWatch.enabled || !b.leases.keeper.CoveredByPeers(now) {
		return true
	}
	return b.rng.Float64()*b.fleetFactor() < 1
}
