package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	ownWord      = 10 * time.Second // a box's word that it drains stands against discovery's, which is seconds late
	confirmEvery = 5 * time.Second  // the list's age on disk is at most this much too old
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
	l.watched(now)
	l.cursor, l.out.Save = u.Cursor, true
	first := l.history.Watched == 0 && len(l.history.Events) == 0 && len(l.order) == 0
	named := make(map[balancer.WorkerID]bool, len(u.Endpoints))
	for _, b := range u.Endpoints {
		named[b.ID] = true
		e := l.boxes[b.ID]
		if b.State == balancer.Removed {
			l.gone(now, e)
			continue
		}
		b.UpdatedAt = now
		if e == nil {
			e = l.add(b)
			if !first {
				l.history.add(now, b.ID, Joined)
			}
		} else {
			if !b.Start.Equal(e.Start) || b.Addr != e.Addr { // it starts anew: nothing it proved holds
				l.history.add(now, b.ID, Restarted)
				e.drainAt, e.base, e.answers, e.wait, e.ansAt = time.Time{}, 0, 0, 0, time.Time{}
				e.VerifiedAt = time.Time{}
			} else if b.State == balancer.Active && e.State == balancer.Draining {
				e.drainAt = time.Time{} // a newer word on this very box
			}
			b.VerifiedAt, b.RequestRate = e.VerifiedAt, e.RequestRate
			if b.State == balancer.Draining && e.State != balancer.Draining {
				l.history.add(now, b.ID, Drained)
			}
			e.Endpoint = b
		}
		if b.State == balancer.Draining {
			l.out.Urgent = true
		}
		e.proof, e.belief, e.at, e.unknown = Reported, 1, now, false
	}
	if u.Full {
		for _, e := range slices.Clone(l.order) {
			if !named[e.ID] {
				l.gone(now, e)
			}
		}
		l.confirm(now, true)
		l.current(now)
	} else {
		l.publish()
	}
}

func (l *List) gone(now time.Time, e *entry) {
	if e == nil {
		return
	}
	l.history.add(now, e.ID, Left)
	l.out.Urgent, l.out.Save = true, true
	if e.listed {
		e.State = balancer.Removed
		e.proof = Reported
		l.show(e)
	}
	delete(l.boxes, e.ID)
	l.order = slices.DeleteFunc(l.order, func(x *entry) bool { return x == e })
}

// watched counts the time since discovery last confirmed the list as watched.
func (l *List) watched(now time.Time) {
	if !l.confirmed.IsZero() && now.After(l.confirmed) {
		l.history.watch(len(l.order), now.Sub(l.confirmed))
		l.confirmed = now
	}
}

// ConfirmCurrent takes discovery's word that nothing has changed after the last news: the whole list is as told.
func (l *List) ConfirmCurrent(now time.Time) {
	l.watched(now)
	l.confirm(now, false)
	if !l.live {
		l.current(now)
	}
}

func (l *List) confirm(now time.Time, full bool) {
	l.confirmed = now
	if full || now.Sub(l.savedAt) >= confirmEvery {
		l.savedAt, l.out.Save = now, true
	}
}

// current ends what a kept list needs: every entry counts as told, the ramp is over.
func (l *List) current(now time.Time) {
	if !l.live && l.began {
		l.log("discovery is back: its word on %d boxes replaces the kept list", len(l.order))
	}
	l.live, l.mourned = true, false
	l.gate.stop()
	for _, e := range l.order {
		if e.State == balancer.Active && !e.drainAt.IsZero() && now.Sub(e.drainAt) < ownWord {
			continue
		}
		e.proof, e.belief, e.at, e.unknown, e.wait = Reported, 1, now, false, 0
		if e.State == balancer.Draining {
			e.proof = Draining
		}
	}
	if len(l.order) == 0 && !l.began { // an empty list is one, too
		l.out.Publish = append(l.out.Publish, Publication{Kind: balancer.EndpointsSnapshot})
	}
	l.publish()
	l.began = true
}

// WatchLost takes the end of the connection to discovery. The list stays, and ages.
func (l *List) WatchLost(now time.Time) {
	if !l.live {
		return
	}
	l.live = false
	for _, e := range l.order {
		if e.proof == Reported {
			e.proof, e.belief, e.at = Verified, 1, l.confirmed
		}
		e.probeAt = time.Time{}
	}
}

// ResetWatch forgets the numbering of a discovery that started over. The list stays until it is told anew in full.
func (l *List) ResetWatch(now time.Time) {
	l.log("discovery started over: its list is read in full")
	l.WatchLost(now)
	l.epoch, l.cursor, l.out.Save = "", 0, true
}
