package endpoints

import (
	"log/slog"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// drainReportTTL is the time for which a worker's own report of draining is kept when service
	// discovery confirms the list, since service discovery learns of a drain seconds later. It is
	// also the interval of the health checks of such a worker.
	drainReportTTL = 10 * time.Second

	// confirmationSaveInterval is the minimum time between saves for confirmations alone. It limits
	// how far the saved time of the last confirmation is behind.
	confirmationSaveInterval = 5 * time.Second
)

// watchState is the state of the watch on service discovery and the position in its events.
type watchState struct {
	epoch               string
	cursor              int64
	confirmedAt         time.Time // when service discovery last confirmed that the list was current
	confirmationSavedAt time.Time // when markConfirmed last requested a save
	live                bool      // whether the list is in sync with service discovery
}

// HandleUpdate applies a watch event. What it reports about an endpoint replaces the cached entry
// and the worker's own report of draining. A partial update of another epoch is ignored, since its
// event numbers are unrelated to those of the list.
func (l *List) HandleUpdate(now time.Time, update Update) {
	if update.Epoch != "" && l.watch.epoch != "" && update.Epoch != l.watch.epoch && !update.Full {
		l.log("endpoint update of another epoch ignored", slog.String("epoch", update.Epoch),
			slog.String("list_epoch", l.watch.epoch))
		return
	}
	if update.Epoch != "" {
		l.watch.epoch = update.Epoch
	}
	l.accountObservedTime(now)
	l.watch.cursor = update.Cursor
	l.requestSave(false)
	isFirstList := l.history.ObservedTime == 0 && len(l.history.Events) == 0 && len(l.sorted) == 0
	for _, endpoint := range update.Endpoints {
		if endpoint.State == balancer.Removed {
			l.remove(now, l.entries[endpoint.ID])
			continue
		}
		l.applyReport(now, endpoint, isFirstList)
	}
	if !update.Full {
		l.publishAll()
		return
	}
	l.removeUnlisted(now, update.Endpoints)
	l.markConfirmed(now, true)
	l.markLive(now)
}

// applyReport adds or updates the entry of one endpoint in a watch event. The endpoints of the very
// first list are not recorded as joined.
func (l *List) applyReport(now time.Time, endpoint Endpoint, isFirstList bool) {
	endpoint.UpdatedAt = now
	entry := l.entries[endpoint.ID]
	if entry != nil {
		l.updateEntry(now, entry, endpoint)
	} else {
		entry = l.insert(endpoint)
		if !isFirstList {
			l.history.recordEvent(now, endpoint.ID, Joined)
		}
	}
	if endpoint.State == balancer.Draining {
		l.requestSave(true)
	}
	entry.setVerified(Reported, now)
}

// updateEntry replaces the fields of an entry that service discovery reported. What was observed of
// the worker is retained, unless a different start time or address indicates that it is a new
// process.
func (l *List) updateEntry(now time.Time, entry *listEntry, endpoint Endpoint) {
	switch {
	case !endpoint.Start.Equal(entry.Start) || endpoint.Addr != entry.Addr:
		l.history.recordEvent(now, endpoint.ID, Restarted)
		entry.resetAfterRestart()
	case endpoint.State == balancer.Active && entry.State == balancer.Draining:
		entry.drainReportedAt = time.Time{} // this report is newer than the worker's own
	}
	if endpoint.State == balancer.Draining && entry.State != balancer.Draining {
		l.history.recordEvent(now, endpoint.ID, Drained)
	}
	endpoint.VerifiedAt, endpoint.RequestRate = entry.VerifiedAt, entry.RequestRate
	entry.Endpoint = endpoint
}

// removeUnlisted removes every entry that is not in a full list.
func (l *List) removeUnlisted(now time.Time, listed []Endpoint) {
	isListed := make(map[balancer.WorkerID]bool, len(listed))
	for _, endpoint := range listed {
		isListed[endpoint.ID] = true
	}
	for _, entry := range slices.Clone(l.sorted) {
		if !isListed[entry.ID] {
			l.remove(now, entry)
		}
	}
}

// accountObservedTime adds the time since the last confirmation to the history, as time in which
// all endpoints were running, and moves the time of the confirmation to now.
func (l *List) accountObservedTime(now time.Time) {
	if confirmedAt := l.watch.confirmedAt; !confirmedAt.IsZero() && now.After(confirmedAt) {
		l.history.addObservedTime(len(l.sorted), now.Sub(confirmedAt))
		l.watch.confirmedAt = now
	}
}

// HandleConfirmation handles the confirmation of service discovery that nothing has changed since
// the last watch event.
func (l *List) HandleConfirmation(now time.Time) {
	l.accountObservedTime(now)
	l.markConfirmed(now, false)
	if !l.watch.live {
		l.markLive(now)
	}
}

// markConfirmed records that service discovery confirmed the list. It requests a save for a full
// update, otherwise at most once per confirmationSaveInterval.
func (l *List) markConfirmed(now time.Time, isFull bool) {
	l.watch.confirmedAt = now
	if isFull || now.Sub(l.watch.confirmationSavedAt) >= confirmationSaveInterval {
		l.watch.confirmationSavedAt = now
		l.requestSave(false)
	}
}

// markLive marks the list as in sync with service discovery: slow start ends, and every entry
// counts as reported, or as draining if service discovery has it so. An entry whose worker itself
// has recently reported draining is left unchanged.
func (l *List) markLive(now time.Time) {
	if !l.watch.live && l.hasPublished {
		l.log("endpoint watch restored", slog.Int("endpoints", len(l.sorted)))
	}
	l.watch.live, l.reportedExhausted = true, false
	l.slowStart.stop()
	for _, entry := range l.sorted {
		if entry.State == balancer.Active && entry.hasRecentDrainReport(now) {
			continue
		}
		entry.setVerified(Reported, now)
		entry.check.backoff = 0
		if entry.State == balancer.Draining {
			entry.verification = Draining
		}
	}
	if len(l.sorted) == 0 && !l.hasPublished { // an empty list must be published, too
		l.pending.Publications = append(l.pending.Publications, Publication{Kind: balancer.EndpointsSnapshot})
	}
	l.publishAll()
	l.hasPublished = true
}

// HandleWatchLost handles the loss of the connection to service discovery. The list stays in use,
// and confidence in its endpoints decreases with time.
func (l *List) HandleWatchLost(_ time.Time) {
	if !l.watch.live {
		return
	}
	l.watch.live = false
	for _, entry := range l.sorted {
		if entry.verification == Reported {
			entry.verification = Verified
			entry.evidence.confidence, entry.evidence.at = 1, l.watch.confirmedAt
		}
		entry.check.dueAt = time.Time{}
	}
}

// HandleWatchReset handles a restart of the event numbering of service discovery. The list stays in
// use until the next full update replaces it.
func (l *List) HandleWatchReset(now time.Time) {
	l.log("endpoint watch reset, reading the full list")
	l.HandleWatchLost(now)
	l.watch.epoch, l.watch.cursor = "", 0
	l.requestSave(false)
}
