package aggregate

import (
	"math"
	"slices"
)

// staleAfterTerms is the number of terms without a digest after which a view is stale and this
// dispatcher is considered isolated.
const staleAfterTerms = 4

// Total is the sum of a value over the fleet: an estimate and its bounds. The bounds hold whether
// the missing dispatchers have crashed, so that their calls have moved to others, are partitioned
// and continue as before, or have stopped, provided that traffic does not move for other reasons.
type Total struct{ Low, Likely, High float64 }

// View is one dispatcher's view of the totals.
type View struct {
	Totals       []Total
	CoveredSums  []float64 // sums over covered dispatchers only, for ratios of values that change quickly
	CoveredCount int       // number of dispatchers that the sums cover, including this one
	MissingCount int       // number of missing dispatchers
	Age          int64     // nanoseconds since the digest was received; 0 without a digest
	NoDigest     bool      // no digest has been received since the start of this dispatcher
	Stale        bool      // no digest has been received for staleAfterTerms terms, or none at all
	Scale        float64   // total over covered sum, for the value chosen in Aggregator.View; at least 1
}

// View returns the current view of the totals. scaleBy is the index of the value from which
// View.Scale is computed; if there is no such value, Scale is 1.
func (a *Aggregator) View(now int64, scaleBy int) View {
	if !a.hasDigest {
		return a.viewWithoutDigest()
	}
	age := max(0, now-a.digestAt)
	view := View{
		Totals:       make([]Total, a.settings.Values),
		CoveredSums:  a.digest.Sums,
		CoveredCount: a.digest.Covered.Len(),
		MissingCount: a.digest.Missing.Len(),
		Age:          age,
		Stale:        age > staleAfterTerms*a.settings.Term,
		Scale:        a.scale(scaleBy),
	}
	keep := math.Exp(-float64(age) / float64(a.settings.DecayTime))
	for i := range view.Totals {
		view.Totals[i] = a.total(i, &view, keep)
	}
	return view
}

// viewWithoutDigest returns the view before the first digest. This dispatcher may have all the
// traffic or an equal share of it; the likely total is the geometric mean of the two cases.
func (a *Aggregator) viewWithoutDigest() View {
	view := View{
		Totals:       make([]Total, a.settings.Values),
		CoveredSums:  slices.Clone(a.local),
		CoveredCount: 1,
		NoDigest:     true,
		Stale:        true,
		Scale:        1,
	}
	dispatchers := float64(a.settings.Dispatchers)
	for i, x := range a.local {
		view.Totals[i] = Total{Low: x, Likely: x * math.Sqrt(dispatchers), High: x * dispatchers}
	}
	return view
}

// total returns the total of value i. keep is the fraction of the other dispatchers' values that
// remains after decay, 0 to 1.
func (a *Aggregator) total(i int, view *View, keep float64) Total {
	own, sum := a.local[i], a.digest.Sums[i]
	counted := a.countedInDigest(i)
	others := max(0, sum+a.digest.MissingSums[i]-a.digest.MissingMoved[i]-counted)
	othersAtMost := max(0, sum+a.digest.MissingSums[i]-counted)
	if unknown := a.settings.Dispatchers - view.CoveredCount - view.MissingCount; unknown > 0 && view.CoveredCount > 0 {
		othersAtMost += sum / float64(view.CoveredCount) * float64(unknown)
	}
	total := Total{Low: own, Likely: own + others, High: own + othersAtMost}
	if view.Stale {
		// This dispatcher is isolated: its increase since may be traffic that moved from the
		// others.
		gained := max(0, own-counted)
		total.Likely = max(own, own+keep*max(0, others-gained))
	} else {
		total.Low = max(own, min(sum, own+others))
	}
	return total
}

// countedInDigest returns this dispatcher's contribution to value i in the last digest, in its Sums
// or its MissingSums.
func (a *Aggregator) countedInDigest(i int) float64 {
	self := a.settings.DispatcherIndex
	if a.everCounted && (a.digest.Covered.Has(self) || a.digest.Missing.Has(self)) {
		return a.lastCounted[i]
	}
	return 0
}

// scale returns the ratio of the total of value i to the sum over the covered dispatchers, at least
// 1.
func (a *Aggregator) scale(i int) float64 {
	d := &a.digest
	if i < 0 || i >= a.settings.Values || !(d.Sums[i] > 0) { // also NaN
		return 1
	}
	return max(1, (d.Sums[i]+d.MissingSums[i]-d.MissingMoved[i])/d.Sums[i])
}
