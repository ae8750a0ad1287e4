package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	drainReportTTL           = 10 * time.Second // a box's word that it drains stands against discovery's, which is seconds late
	confirmationSaveInterval = 5 * time.Second  // the list's age on disk is at most this much too old
)

// HandleUpdate takes news of discovery. Its word replaces what was kept; what the box itself said lately of draining stands.
func (l *List) HandleUpdate(now time.Time, u Update) {
	if u.Epoch != "" && l.epoch != "" && u.Epoch != l.epoch && !u.Full {
		l.log("discovery speaks of epoch %q where the list is of %q: a change alone is not taken", u.Epoch, l.epoch)
		return
	}
	if u.Epoch != "" {
		l.epoch = u.Epoch
	}
	l.accountObservedTime(now)
	l.cursor, l.pending.Save = u.Cursor, true
	first := l.history.Watched == 0 && len(l.history.Events) == 0 && len(l.sorted) == 0
	named := make(map[balancer.WorkerID]bool, len(u.Endpoints))
	for _, b := range u.Endpoints {
		named[b.ID] = true
		e := l.entries[b.ID]
		if b.State == balancer.Removed {
			l.remove(now, e)
			continue
		}
		b.UpdatedAt = now
		if e == nil {
			e = l.insert(b)
			if !first {
				l.history.recordEvent(now, b.ID, Joined)
			}
		} else {
			if !b.Start.Equal(e.Start) || b.Addr != e.Addr { // it starts anew: nothing it proved holds
				l.history.recordEvent(now, b.ID, Restarted)
				e.drainReportedAt, e.formerRate, e.responses, e.checkBackoff, e.responseAt = time.Time{}, 0, 0, 0, time.Time{}
				e.VerifiedAt = time.Time{}
			} else if b.State == balancer.Active && e.State == balancer.Draining {
				e.drainReportedAt = time.Time{} // a newer word on this very box
			}
			b.VerifiedAt, b.RequestRate = e.VerifiedAt, e.RequestRate
			if b.State == balancer.Draining && e.State != balancer.Draining {
				l.history.recordEvent(now, b.ID, Drained)
			}
			e.Endpoint = b
		}
		if b.State == balancer.Draining {
			l.pending.Urgent = true
		}
		e.verification, e.confidence, e.evidenceAt, e.ageUnknown = Reported, 1, now, false
	}
	if u.Full {
		for _, e := range slices.Clone(l.sorted) {
			if !named[e.ID] {
				l.remove(now, e)
			}
		}
		l.markConfirmed(now, true)
		l.markLive(now)
	} else {
		l.publishAll()
	}
}

func (l *List) remove(now time.Time, e *entry) {
	if e == nil {
		return
	}
	l.history.recordEvent(now, e.ID, Left)
	l.pending.Urgent, l.pending.Save = true, true
	if e.isPublished {
		e.State = balancer.Removed
		e.verification = Reported
		l.publishRemoval(e)
	}
	delete(l.entries, e.ID)
	l.sorted = slices.DeleteFunc(l.sorted, func(x *entry) bool { return x == e })
}

// accountObservedTime counts the time since discovery last confirmed the list as watched.
func (l *List) accountObservedTime(now time.Time) {
	if !l.confirmedAt.IsZero() && now.After(l.confirmedAt) {
		l.history.addObservedTime(len(l.sorted), now.Sub(l.confirmedAt))
		l.confirmedAt = now
	}
}

// ConfirmCurrent takes discovery's word that nothing has changed after the last news: the whole list is as told.
func (l *List) ConfirmCurrent(now time.Time) {
	l.accountObservedTime(now)
	l.markConfirmed(now, false)
	if !l.live {
		l.markLive(now)
	}
}

func (l *List) markConfirmed(now time.Time, full bool) {
	l.confirmedAt = now
	if full || now.Sub(l.confirmationSavedAt) >= confirmationSaveInterval {
		l.confirmationSavedAt, l.pending.Save = now, true
	}
}

// markLive ends what a kept list needs: every entry counts as told, the ramp is over.
func (l *List) markLive(now time.Time) {
	if !l.live && l.hasPublished {
		l.log("discovery is back: its word on %d boxes replaces the kept list", len(l.sorted))
	}
	l.live, l.reportedExhausted = true, false
	l.slowStart.stop()
	for _, e := range l.sorted {
		if e.State == balancer.Active && !e.drainReportedAt.IsZero() && now.Sub(e.drainReportedAt) < drainReportTTL {
			continue
		}
		e.verification, e.confidence, e.evidenceAt, e.ageUnknown, e.checkBackoff = Reported, 1, now, false, 0
		if e.State == balancer.Draining {
			e.verification = Draining
		}
	}
	if len(l.sorted) == 0 && !l.hasPublished { // an empty list is one, too
		l.pending.Publish = append(l.pending.Publish, Publication{Kind: balancer.EndpointsSnapshot})
	}
	l.publishAll()
	l.hasPublished = true
}

// WatchLost takes the end of the connection to discovery. The list stays, and ages.
func (l *List) WatchLost(now time.Time) {
	if !l.live {
		return
	}
	l.live = false
	for _, e := range l.sorted {
		if e.verification == Reported {
			e.verification, e.confidence, e.evidenceAt = Verified, 1, l.confirmedAt
		}
		e.checkDue = time.Time{}
	}
}

// ResetWatch forgets the numbering of a discovery that started over. The list stays until it is told anew in full.
func (l *List) ResetWatch(now time.Time) {
	l.log("discovery started over: its list is read in full")
	l.WatchLost(now)
	l.epoch, l.cursor, l.pending.Save = "", 0, true
}
