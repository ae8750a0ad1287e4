package aggregate

import "math"

// Digest is what the leader sends to all dispatchers. Values and sums are in units of the caller.
type Digest struct {
	Tick         uint16    // time of the leader's clock, in Settings.Tick; wraps around
	Sums         []float64 // of the values of those in Covered
	MissingSums  []float64 // of the values that those in Missing last added, decaying
	MissingMoved []float64 // the part of MissingSums that has since been added by those in Covered
	Covered      NodeSet   // dispatchers with a current report
	Missing      NodeSet   // dispatchers without one that the last digest covered or missed
	Truncated    bool      // most of the counts that accompany it are left out
}

// NextDigest returns the digest of this dispatcher as the leader: of the reports of this term, its
// own values, and what the last digest has of those missing. Pass it to HandleDigest once it is
// sent.
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

// currentReport returns the report of the dispatcher with index i; false where there is none of
// this term.
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

// Complete reports whether there are reports of this term of at least three quarters of the
// dispatchers that a digest would cover or miss.
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

// digestBuilder sums up reports into a digest.
type digestBuilder struct {
	digest Digest
	last   *Digest // the digest before, nil: none
	// keep is the part of the last digest's MissingSums that has not decayed, 0 to 1.
	keep        float64
	lastMissing float64 // number of dispatchers that the last digest misses
	// unclaimed is the last digest's Sums less what the present dispatchers had added to them: the
	// values of those newly missing.
	unclaimed []float64
	growth    []float64 // by how much the values of present dispatchers exceed what they had added
}

// newDigestBuilder returns a builder of a digest that continues the last one.
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
		case wasMissing && report.Fresh: // it has lost what it had added: take its average part of what is missing
			b.digest.MissingSums[j] -= b.last.MissingSums[j] * b.keep / b.lastMissing
		case wasMissing:
			b.digest.MissingSums[j] -= counted * b.keep
		}
	}
}

// counted returns what the last digest that covered the sender counted of its value j.
func (r *Report) counted(j int) float64 {
	if r.LastCounted != nil && !math.IsNaN(r.LastCounted[j]) {
		return r.LastCounted[j]
	}
	return r.Values[j]
}

// finish returns the digest.
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
