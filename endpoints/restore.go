package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	immediateChecks     = 3                      // boxes asked at once after a start
	initialCheckWindow  = 150 * time.Millisecond // and for so long as many as all dispatchers together may ask
	minInitialChecks    = 8
	remainingCheckDelay = 600 * time.Millisecond // the others wait until those have proved themselves
)

// Restore starts from a kept list. It must be the first event.
func (l *List) Restore(now time.Time, k Snapshot) {
	l.history, l.epoch, l.cursor, l.confirmedAt = k.History, k.Epoch, k.Cursor, k.Confirmed
	aged := true
	if k.Confirmed.After(now) || k.Saved.After(now) {
		aged = false
		l.log("the clock went back: the kept list is of unknown age and counts as %v old", unknownAge)
	}
	for _, b := range k.Endpoints {
		if b.State == balancer.Removed || l.entries[b.ID] != nil {
			continue
		}
		e := l.insert(b)
		e.verification, e.evidenceAt = Unverified, latest(k.Confirmed, b.VerifiedAt)
		e.ageUnknown = !aged || e.evidenceAt.IsZero() || e.evidenceAt.After(now)
		e.checkDue = now.Add(time.Duration(l.rng.Float64() * float64(l.checkSpread())))
		e.formerRate = b.RequestRate
		if b.State == balancer.Draining {
			e.verification = Draining
		}
	}
	if l.config.Fresh {
		for _, e := range l.sorted {
			e.verification, e.confidence, e.evidenceAt, e.ageUnknown = Verified, 1, now, false
		}
		l.publishAll()
		return
	}
	l.scheduleInitialChecks(now)
	l.slowStart.start(l, now)
	if n := len(l.sorted); n > 0 {
		l.log("starting from a kept list of %d boxes, %v old, trusted %.2f on the mean", n, l.age(now).Round(time.Second), l.meanConfidence(now))
	}
}

// checkSpread is the time over which every box is asked once, so that all dispatchers together keep to ProbeRate.
func (l *List) checkSpread() time.Duration {
	return time.Duration(float64(l.config.Siblings) / l.config.ProbeRate * float64(time.Second))
}

// scheduleInitialChecks has as many boxes asked first as ProbeRate allows within eagerTime, three of them at once: drawn from the most
// trusted, other ones at every dispatcher. The rest follow at their pace.
func (l *List) scheduleInitialChecks(now time.Time) {
	var es []*entry
	for _, e := range l.sorted {
		if e.verification == Unverified {
			es = append(es, e)
			e.checkDue = e.checkDue.Add(remainingCheckDelay)
		}
	}
	l.rng.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
	slices.SortStableFunc(es, func(a, b *entry) int {
		return int(4*l.confidence(now, b)) - int(4*l.confidence(now, a))
	})
	most := int(l.config.ProbeRate * initialCheckWindow.Seconds() * float64(len(es)) / float64(l.config.Siblings))
	for i, e := range es[:min(len(es), max(most, minInitialChecks))] {
		e.initialCheck = true
		e.checkDue = now
		if i >= immediateChecks {
			e.checkDue = now.Add(time.Duration(l.rng.Float64() * float64(min(initialCheckWindow, l.checkSpread()))))
		}
	}
}

// checkInterval is the time between probes of one box in the ramp.
func (l *List) checkInterval(e *entry) time.Duration {
	if e.initialCheck {
		return max(minSuccessInterval, min(initialCheckWindow, l.checkSpread()))
	}
	return max(minSuccessInterval, l.checkSpread())
}
