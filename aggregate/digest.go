package aggregate

import "math"

// Digest is the summary that the leader sends to all dispatchers. Sums are in the caller's units.
type Digest struct {
	Tick         uint16    // time of the leader's clock, in units of Settings.Tick; wraps around
	Sums         []float64 // sums of the values of the dispatchers in Covered
	MissingSums  []float64 // decaying sums of the values that the dispatchers in Missing last contributed
	MissingMoved []float64 // part of MissingSums by which the values of the dispatchers in Covered have grown since
	Covered      NodeSet   // dispatchers with a current report
	Missing      NodeSet   // dispatchers without a current report that the last digest listed as covered or missing
	Truncated    bool      // most of the accompanying counts are omitted
}

// NextDigest returns the digest that this dispatcher sends as the leader. It is built from the
// reports of this term, its own values, and the last digest's contribution of those missing. Pass
// it to HandleDigest after sending it.
func (a *Aggregator) NextDigest(now int64) Digest {
	b := a.newDigestBuilder(now)
	for i := range a.settings.Dispatchers {
		if report, ok := a.currentReport(now, i); ok {
			b.add(i, report)
		} else {
			b.addMissing(i)
		}
	}
	return b.finish()
}

// currentReport returns the report of the dispatcher with index i, and whether it is of this term.
func (a *Aggregator) currentReport(now int64, i int) (Report, bool) {
	if i == a.settings.DispatcherIndex {
		own := Report{Values: a.local, Fresh: !a.everCounted}
		if a.everCounted {
			own.LastCounted = a.lastCounted
		}
		return own, true
	}
	last := &a.reports[i]
	return last.Report, a.isCurrent(now, last)
}

// isCurrent reports whether a report is of this term.
func (a *Aggregator) isCurrent(now int64, r *receivedReport) bool {
	return r.valid && now-r.receivedAt < a.settings.Term
}

// Complete reports whether at least three quarters of the dispatchers that the last digest lists as
// covered or missing have sent a report of this term.
func (a *Aggregator) Complete(now int64) bool {
	current := 1 // this dispatcher
	for i := range a.reports {
		if a.isCurrent(now, &a.reports[i]) {
			current++
		}
	}
	expected := a.digest.Covered.Len() + a.digest.Missing.Len()
	return 4*current >= 3*expected
}

// digestBuilder builds a digest from reports.
type digestBuilder struct {
	digest Digest
	last   *Digest // previous digest; nil: none
	// keep is the fraction of the last digest's MissingSums that remains after decay, 0 to 1.
	keep        float64
	lastMissing float64 // number of dispatchers missing from the last digest
	// unclaimed is the last digest's Sums less the contributions to them of the dispatchers that
	// have reported: the contributions of those newly missing.
	unclaimed []float64
	growth    []float64 // increase of the values of dispatchers that have reported over their last contributions
}

// newDigestBuilder returns a builder of the digest that follows the last one.
func (a *Aggregator) newDigestBuilder(now int64) *digestBuilder {
	dispatchers, values := a.settings.Dispatchers, a.settings.Values
	b := &digestBuilder{
		digest: Digest{
			Tick:         a.tick(now),
			Sums:         make([]float64, values),
			MissingSums:  make([]float64, values),
			MissingMoved: make([]float64, values),
			Covered:      NewNodeSet(dispatchers),
			Missing:      NewNodeSet(dispatchers),
		},
		unclaimed: make([]float64, values),
		growth:    make([]float64, values),
	}
	if !a.hasDigest {
		return b
	}
	b.last = &a.digest
	b.lastMissing = float64(a.digest.Missing.Len())
	b.keep = math.Exp(-float64(max(0, now-a.digestAt)) / float64(a.settings.DecayTime))
	copy(b.unclaimed, a.digest.Sums)
	for j := range values {
		b.digest.MissingSums[j] = b.keep * a.digest.MissingSums[j]
		b.digest.MissingMoved[j] = b.keep * a.digest.MissingMoved[j]
	}
	return b
}

// addMissing records that there is no report of the dispatcher with index i.
func (b *digestBuilder) addMissing(i int) {
	if b.last != nil && (b.last.Covered.Has(i) || b.last.Missing.Has(i)) {
		b.digest.Missing.Add(i)
	}
}

// add adds the report of the dispatcher with index i.
func (b *digestBuilder) add(i int, report Report) {
	b.digest.Covered.Add(i)
	wasMissing := b.last != nil && b.last.Missing.Has(i)
	wasCovered := b.last != nil && b.last.Covered.Has(i) && !report.Fresh
	for j, x := range report.Values {
		b.digest.Sums[j] += x
		counted := report.counted(j)
		switch {
		case wasCovered:
			b.unclaimed[j] -= counted
			b.growth[j] += x - counted
		case wasMissing && report.Fresh: // restarted, so its contribution is unknown: use the mean of those missing
			b.digest.MissingSums[j] -= b.last.MissingSums[j] * b.keep / b.lastMissing
		case wasMissing:
			b.digest.MissingSums[j] -= counted * b.keep
		}
	}
}

// counted returns the sender's value j as the last digest that covered the sender counted it.
func (r *Report) counted(j int) float64 {
	if r.LastCounted != nil && !math.IsNaN(r.LastCounted[j]) {
		return r.LastCounted[j]
	}
	return r.Values[j]
}

// finish completes and returns the digest.
func (b *digestBuilder) finish() Digest {
	d := &b.digest
	anyMissing := d.Missing.Len() > 0
	for j := range d.Sums {
		if anyMissing {
			d.MissingSums[j] = max(0, d.MissingSums[j]) + max(0, b.unclaimed[j])
		} else {
			d.MissingSums[j] = 0
		}
		d.MissingMoved[j] = min(max(0, d.MissingMoved[j]+b.growth[j]), d.MissingSums[j])
	}
	return *d
}
