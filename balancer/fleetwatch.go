package balancer

const (
	// allDispatchers is the receiver index that addresses all other dispatchers.
	allDispatchers = -1
	// watchersPerWorker is how many dispatchers watch each worker on behalf of all.
	watchersPerWorker = 2
	// watchInterval is the time, in nanoseconds, after which a watcher checks a worker that it has
	// not verified meanwhile.
	watchInterval = int64(2e9)
	// suspicionTimeout is how long, in nanoseconds, a worker is suspected before it may be reported
	// without a rejected call; confirmInterval is the time between its health checks meanwhile.
	suspicionTimeout = int64(800e6)
	confirmInterval  = int64(200e6)
	// watchScanInterval is the minimum time between two scans for watched workers that are due for a
	// check, in nanoseconds.
	watchScanInterval = int64(250e6)
	// watchDelay is the time within which the watchers detect a drain and all dispatchers that
	// receive the leaders' notices learn of it.
	watchDelay = watchInterval + int64(1e9)
	// reportInterval is the time between two reports of a watcher to the leader, relayInterval the
	// minimum time from one leader notice to one that relays a report, and noticeInterval to any
	// other notice.
	reportInterval = int64(300e6)
	relayInterval  = int64(300e6)
	noticeInterval = int64(800e6)
	// minNoticeSpan is how long a dispatcher must receive notices before it knows every current
	// report.
	minNoticeSpan = int64(700e6)
	// maxNoticeGap is the longest time between two leader notices: several leaders may have failed.
	maxNoticeGap = int64(3e9)
	// watchDuration is how long watchers continue without a notice that tells them to watch.
	watchDuration = int64(5e9)
	// maxWatchedWorkers is the largest number of active workers for which the shared watch runs.
	maxWatchedWorkers = defaultFullScanLimit
	// maxChecksPerCall is the largest number of watchers' health checks per call of the fleet for
	// which the shared watch runs: with few calls, a check before each call costs less.
	maxChecksPerCall = 0.25
)

// fleetWatch lets many dispatchers share the detection of draining workers that discovery does
// not report. Each dispatcher contacts most workers too rarely to notice by itself. So each
// worker is watched by a few dispatchers, which report a drain to all at once and then
// repeatedly to the leader, which relays it in its notices. A dispatcher that receives the
// notices takes workers that they do not name to accept work.
type fleetWatch struct {
	enabled          bool
	watchUntil       int64 // this dispatcher takes part until then, as leader notices ask
	noticeReceivedAt int64 // when a leader notice was last received or sent
	noticesSince     int64 // start of the current series of notices without a long gap
	peerReportAt     int64 // when a report was last received from another dispatcher
	scannedAt        int64
	reportedAt       int64 // when it last reported to the leader
	noticeSentAt     int64 // when this dispatcher, as the leader, last sent a notice

	suspects      []*workerState // watched workers whose health checks fail, not reported yet
	reported      []*workerState // watched workers that are reported, as of the last scan
	pendingRelays []*workerState // reported workers that the leader has yet to relay
}

// newFleetWatch returns the watch of a dispatcher that has received no notice yet. It is enabled
// only with many dispatchers: with few, each verifies the workers often enough by itself.
func newFleetWatch(now int64, s *Settings) fleetWatch {
	many := float64(s.Dispatchers) > wellInformedDispatchers
	return fleetWatch{
		enabled:    many && s.Gossip && s.HealthChecks && s.ConfirmInterval > 0,
		watchUntil: now + watchDuration,
	}
}

// recordLeaderNotice records that a leader notice was received, or sent by this dispatcher as
// the leader.
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

// watchRate returns the health checks per second of all watchers together.
func (b *Balancer) watchRate() float64 {
	return float64(len(b.endpoints.active)*watchersPerWorker) / float64(watchInterval) * 1e9
}

// fleetShouldWatch reports whether the shared watch is to run: the dispatchers that are alive
// can check all workers in time, and the fleet has enough calls to justify the health checks.
// The call rate is ignored for watchDuration after the start, since it is not known yet.
func (b *Balancer) fleetShouldWatch(now int64) bool {
	calls := b.fleetSum(completionsColumn) * b.gossip.view.Scale
	return len(b.endpoints.active) <= maxWatchedWorkers &&
		b.watchRate() <= periodicCheckRate/2*float64(b.gossip.elector.AliveCount(now)) &&
		(now-b.startedAt < watchDuration || b.watchRate() <= maxChecksPerCall*calls)
}

// watchForPeers checks the workers that this dispatcher watches and that are due, and sends the
// resulting reports and notices.
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
	noticeDue := sinceNotice >= noticeInterval && b.isRecognizedLeader(now) && b.receivesPeerReports(now)
	if noticeDue || sinceNotice >= relayInterval && len(w.pendingRelays) > 0 {
		w.noticeSentAt = now
		b.sendLeaderNotice(now)
	}
}

// watches reports whether this dispatcher watches a worker on behalf of all.
func (b *Balancer) watches(now int64, worker *workerState) bool {
	return b.gossip.elector.IsSuccessor(now, mix64(uint64(worker.Worker)), watchersPerWorker)
}

// scanWatchedWorkers updates the reported workers and starts the checks that are due, over all
// workers that this dispatcher watches.
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

// startWatchCheck starts a health check of a worker on behalf of all dispatchers, within the
// rate limit of periodic checks.
func (b *Balancer) startWatchCheck(now int64, worker *workerState) {
	if l := &b.leases; l.checkTokens >= 1 {
		l.checkTokens--
		l.counts.WatchChecks++
		b.startCheck(now, worker)
	}
}

// shouldCheckRejection reports whether this dispatcher checks a worker that rejected a call.
// With peer coverage only a random few of the dispatchers that may meet the same full worker do.
func (b *Balancer) shouldCheckRejection(now int64) bool {
	if !b.fleetWatch.enabled || !b.leases.keeper.PeerCovered(now) {
		return true
	}
	return b.rng.Float64()*b.fleetFactor() < 1
}
