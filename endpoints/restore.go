package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	eager      = 3                      // boxes asked at once after a start
	eagerTime  = 150 * time.Millisecond // and for so long as many as all dispatchers together may ask
	eagerLeast = 8
	laterTime  = 600 * time.Millisecond // the others wait until those have proved themselves
)

// Restore starts from a kept list. It must be the first event.
func (l *List) Restore(now time.Time, k Snapshot) {
	l.history, l.epoch, l.cursor, l.confirmed = k.History, k.Epoch, k.Cursor, k.Confirmed
	aged := true
	if k.Confirmed.After(now) || k.Saved.After(now) {
		aged = false
		l.log("the clock went back: the kept list is of unknown age and counts as %v old", unknownAge)
	}
	for _, b := range k.Endpoints {
		if b.State == balancer.Removed || l.boxes[b.ID] != nil {
			continue
		}
		e := l.add(b)
		e.proof, e.at = Unverified, later(k.Confirmed, b.VerifiedAt)
		e.unknown = !aged || e.at.IsZero() || e.at.After(now)
		e.probeAt = now.Add(time.Duration(l.rng.Float64() * float64(l.spread())))
		e.base = b.RequestRate
		if b.State == balancer.Draining {
			e.proof = Draining
		}
	}
	if l.cfg.Fresh {
		for _, e := range l.order {
			e.proof, e.belief, e.at, e.unknown = Verified, 1, now, false
		}
		l.publish()
		return
	}
	l.rush(now)
	l.gate.start(l, now)
	if n := len(l.order); n > 0 {
		l.log("starting from a kept list of %d boxes, %v old, trusted %.2f on the mean", n, l.age(now).Round(time.Second), l.meanTrust(now))
	}
}

// spread is the time over which every box is asked once, so that all dispatchers together keep to ProbeRate.
func (l *List) spread() time.Duration {
	return time.Duration(float64(l.cfg.Siblings) / l.cfg.ProbeRate * float64(time.Second))
}

// rush has as many boxes asked first as ProbeRate allows within eagerTime, three of them at once: drawn from the most
// trusted, other ones at every dispatcher. The rest follow at their pace.
func (l *List) rush(now time.Time) {
	var es []*entry
	for _, e := range l.order {
		if e.proof == Unverified {
			es = append(es, e)
			e.probeAt = e.probeAt.Add(laterTime)
		}
	}
	l.rng.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
	slices.SortStableFunc(es, func(a, b *entry) int {
		return int(4*l.trust(now, b)) - int(4*l.trust(now, a))
	})
	most := int(l.cfg.ProbeRate * eagerTime.Seconds() * float64(len(es)) / float64(l.cfg.Siblings))
	for i, e := range es[:min(len(es), max(most, eagerLeast))] {
		e.first = true
		e.probeAt = now
		if i >= eager {
			e.probeAt = now.Add(time.Duration(l.rng.Float64() * float64(min(eagerTime, l.spread()))))
		}
	}
}

// round is the time between probes of one box in the ramp.
func (l *List) round(e *entry) time.Duration {
	if e.first {
		return max(proofGap, min(eagerTime, l.spread()))
	}
	return max(proofGap, l.spread())
}
