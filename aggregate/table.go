// Package commons is what dispatchers share: counts that are one's own in each and wanted as a sum over the fleet, such as
// calls a second by tenant. It has no clock, goroutine or I/O and chooses nothing: events come in with their time, and out
// come what to tell and a view of the sums that says whom it covers.
//
// Each dispatcher owns one row of figures and reports it to the hub of the term; the hub tells all a digest: the sum over the
// rows that it has, whose rows these are, and for those that it lacks what they last added to such a sum. So a sum over a
// part is never taken for the whole, and who is not heard is remembered and not taken for idle. A report quotes what its
// sender added to the last digest where that differs, so that what is missing is known exactly without a row of each of
// the others: it is the digest before, less what those present had added to it.
//
// Times are nanoseconds of the caller's clock, as in decide; terms are numbered by that clock, and one who is off by more
// than two terms is not heeded.
package aggregate

import (
	"math"
	"slices"
)

// Settings of a Table. Siblings counts the dispatchers, this one with them; Figures the length of a row.
type Settings struct {
	DispatcherIndex, Dispatchers, Values int
	Passing                              int   // of these, the last ones, which pass too soon for a change to be quoted
	Term                                 int64 // for which one dispatcher is the hub
	Tick                                 int64 // numbers digests; those of one tick and hub are one
	Forget                               int64 // time constant with which what is not heard is forgotten
}

// maxSkewTerms is by how many terms a hub's clock may differ from ours.
const maxSkewTerms = 2

// staleAfterTerms without a digest, and nobody is heard.
const staleAfterTerms = 4

// minRelativeChange is by how much a figure must differ from what it was in the last digest to be quoted, beside its root: less is chance
// in a rate that is a mean over some seconds.
const minRelativeChange = 0.1

// Report is one dispatcher's report. Incarnation tells its restarts apart, Seq its reports; both wrap round.
type Report struct {
	Incarnation, Seq uint8
	Values           []float64
	LastCounted      []float64 // what it added to the last digest that had it; nil, or NaN for a figure: about the same
	Fresh            bool      // it has added to none since its start
}

// Digest is the hub's sum.
type Digest struct {
	Tick         uint16
	Sums         []float64 // over the rows in Covered
	MissingSums  []float64 // what those in Missing last added, all together
	MissingMoved []float64 // of that, what has come to those in Covered since
	Covered      NodeSet
	Missing      NodeSet
	Truncated    bool // of the counts beside it, most are left out
}

// Total is a sum over the fleet with the bounds that hold whether those not heard are dead, cut off or stopped: their calls
// have come to us, go on elsewhere as they were, or stand still. It holds as long as nobody's traffic moves otherwise.
type Total struct{ Low, Likely, High float64 }

// View is what a dispatcher knows of the sums.
type View struct {
	Totals  []Total
	Covered []float64 // sums over those heard alone: for ratios of figures that pass quickly
	Heard   int       // dispatchers that the sums cover, ourselves with them
	Missing int       // that are remembered
	Age     int64     // since the digest; Never: none since our start
	Never   bool
	Stale   bool    // no digest has come for some terms, or none since our start
	Scale   float64 // how much more the whole is than what is covered, by the figure named at Table.View; at least 1
}

// Aggregator is what one dispatcher holds. Make one with New.
type Aggregator struct {
	settings    Settings
	incarnation uint8
	lastSeq     uint8
	local       []float64
	reports     []receivedReport // as a hub: the last row of each

	digest      Digest
	digestAt    int64
	digestFrom  int
	hasDigest   bool      // a digest has come, or was made
	lastCounted []float64 // what we added to the last digest that had us
	everCounted bool
	sentValues  []float64 // what our last report said
	Dropped     int       // rows and digests not heeded: doubled, late, of an old incarnation or a foreign term
}

type receivedReport struct {
	Report
	receivedAt int64
	valid      bool
}

// New makes a Table. now tells this incarnation from the one before, if a second lies between.
func New(now int64, s Settings) *Aggregator {
	s.Dispatchers, s.Passing = max(1, s.Dispatchers), min(max(0, s.Passing), s.Values)
	s.Term, s.Tick, s.Forget = max(1, s.Term), max(1, s.Tick), max(1, s.Forget)
	return &Aggregator{settings: s, incarnation: uint8(now / 1e9), local: make([]float64, s.Values), reports: make([]receivedReport, s.Dispatchers)}
}

func (t *Aggregator) tick(now int64) uint16 { return uint16(now / t.settings.Tick) }

// SetLocal sets our own row.
func (t *Aggregator) SetLocal(figures []float64) { copy(t.local, figures) }

// NextReport is our row as it is to be sent. It counts once Sent says so.
func (t *Aggregator) NextReport() Report {
	r := Report{Incarnation: t.incarnation, Seq: t.lastSeq + 1, Values: slices.Clone(t.local), Fresh: !t.everCounted}
	if !t.everCounted {
		return r
	}
	all, some := !t.digest.Covered.Has(t.settings.DispatcherIndex), false
	prev := slices.Clone(t.lastCounted)
	for i, x := range t.local {
		if quoted := all || i < t.settings.Values-t.settings.Passing && differs(prev[i], x); !quoted {
			prev[i] = math.NaN()
		} else {
			some = true
		}
	}
	if some {
		r.LastCounted = prev
	}
	return r
}

// ReportSent takes that a report has gone out.
func (t *Aggregator) ReportSent(r Report) { t.lastSeq, t.sentValues = r.Seq, r.Values }

func differs(a, b float64) bool {
	return math.Abs(a-b) > minRelativeChange*math.Max(a, b)+1+math.Sqrt(math.Max(a, b))
}

// newer tells whether a comes after b, of numbers that wrap round.
func newer(a, b uint8) bool { return a != b && a-b < 128 }

// HandleReport takes a row; false: it is late, doubled, of an incarnation that is over, or nobody's.
func (t *Aggregator) HandleReport(now int64, from int, r Report) bool {
	if from < 0 || from >= t.settings.Dispatchers || from == t.settings.DispatcherIndex || len(r.Values) != t.settings.Values || r.LastCounted != nil && len(r.LastCounted) != t.settings.Values {
		t.Dropped++
		return false
	}
	h := &t.reports[from]
	// Numbers come round, and a hub hears one again only many terms later: by then nothing old is on its way.
	if h.valid && now-h.receivedAt < maxSkewTerms*t.settings.Term {
		if newer(h.Incarnation, r.Incarnation) || h.Incarnation == r.Incarnation && !newer(r.Seq, h.Seq) {
			t.Dropped++
			return false
		}
	}
	*h = receivedReport{r, now, true}
	return true
}

// NextDigest makes the digest of the hub from the rows of this term, our own and what the last digest remembers. It counts once we
// are told it, as the others are.
func (t *Aggregator) NextDigest(now int64) Digest {
	n, k := t.settings.Dispatchers, t.settings.Values
	d := Digest{Tick: t.tick(now), Sums: make([]float64, k), MissingSums: make([]float64, k), MissingMoved: make([]float64, k), Covered: NewSet(n), Missing: NewSet(n)}
	left, growth := make([]float64, k), make([]float64, k) // of the last sums: what those present had not added; what they add now beyond it
	keep := 0.0
	if t.hasDigest {
		keep = math.Exp(-float64(max(0, now-t.digestAt)) / float64(t.settings.Forget))
		copy(left, t.digest.Sums)
		for i := range k {
			d.MissingSums[i], d.MissingMoved[i] = keep*t.digest.MissingSums[i], keep*t.digest.MissingMoved[i]
		}
	}
	for i := range n {
		var r Report
		switch h := t.reports[i]; {
		case i == t.settings.DispatcherIndex:
			r = Report{Values: t.local, Fresh: !t.everCounted}
			if t.everCounted {
				r.LastCounted = t.lastCounted
			}
		case h.valid && now-h.receivedAt < t.settings.Term:
			r = h.Report
		default:
			if t.hasDigest && (t.digest.Covered.Has(i) || t.digest.Missing.Has(i)) {
				d.Missing.Add(i)
			}
			continue
		}
		d.Covered.Add(i)
		back := t.hasDigest && t.digest.Missing.Has(i)
		was := t.hasDigest && t.digest.Covered.Has(i) && !r.Fresh
		for j, x := range r.Values {
			d.Sums[j] += x
			prev := x
			if r.LastCounted != nil && !math.IsNaN(r.LastCounted[j]) {
				prev = r.LastCounted[j]
			}
			switch {
			case was:
				left[j] -= prev
				growth[j] += x - prev
			case back && r.Fresh: // it does not know: its part of what is missing
				d.MissingSums[j] -= t.digest.MissingSums[j] * keep / float64(t.digest.Missing.Len())
			case back:
				d.MissingSums[j] -= prev * keep
			}
		}
	}
	for j := range k {
		if t.hasDigest && d.Missing.Len() > 0 {
			d.MissingSums[j] = max(0, d.MissingSums[j]) + max(0, left[j])
		} else {
			d.MissingSums[j] = 0
		}
		d.MissingMoved[j] = min(max(0, d.MissingMoved[j]+growth[j]), d.MissingSums[j])
	}
	return d
}

// Complete tells whether the rows of this term are most of those that a digest would cover or remember.
func (t *Aggregator) Complete(now int64) bool {
	n, want := 1, t.digest.Covered.Len()+t.digest.Missing.Len()
	for i := range t.reports {
		if h := &t.reports[i]; h.valid && now-h.receivedAt < t.settings.Term {
			n++
		}
	}
	return 4*n >= 3*want
}

// HandleDigest takes a digest; false: it is late, doubled, of a clock too far from ours, or of another size.
func (t *Aggregator) HandleDigest(now int64, from int, d Digest) bool {
	far := int16(min(maxSkewTerms*t.settings.Term/t.settings.Tick, math.MaxInt16/2))
	away := int16(d.Tick - t.tick(now))
	since, recent := int16(d.Tick-t.digest.Tick), t.hasDigest && now-t.digestAt < maxSkewTerms*t.settings.Term
	if len(d.Sums) != t.settings.Values || away > far || away < -far || recent && (since < 0 || since == 0 && from != t.digestFrom) {
		t.Dropped++
		return false
	}
	if recent && since == 0 && slices.Equal(d.Sums, t.digest.Sums) {
		return true // doubled, or told with more counts beside it
	}
	t.digest, t.digestAt, t.digestFrom, t.hasDigest = d, now, from, true
	if d.Covered.Has(t.settings.DispatcherIndex) {
		mine := t.sentValues
		if from == t.settings.DispatcherIndex || mine == nil {
			mine = t.local
		}
		t.lastCounted, t.everCounted = slices.Clone(mine), true
	}
	return true
}

// View tells the sums as they are known. Who has heard nobody since its start may see all there is or as much as each of the
// others: its likely total is the geometric mean of the two. by: the figure whose covered part tells the scale of all that is counted beside.
func (t *Aggregator) View(now int64, by int) View {
	v := View{Totals: make([]Total, t.settings.Values), Heard: 1, Scale: 1, Never: !t.hasDigest, Stale: !t.hasDigest}
	if !t.hasDigest {
		v.Covered = slices.Clone(t.local)
		for i, x := range t.local {
			v.Totals[i] = Total{Low: x, Likely: x * math.Sqrt(float64(t.settings.Dispatchers)), High: x * float64(t.settings.Dispatchers)}
		}
		return v
	}
	v.Covered = t.digest.Sums
	v.Heard, v.Missing, v.Age = t.digest.Covered.Len(), t.digest.Missing.Len(), max(0, now-t.digestAt)
	unknown := t.settings.Dispatchers - v.Heard - v.Missing
	keep := math.Exp(-float64(v.Age) / float64(t.settings.Forget))
	v.Stale = v.Age > staleAfterTerms*t.settings.Term
	for i, x := range t.local {
		sum := t.digest.Sums[i]
		was := 0.0
		if t.everCounted && (t.digest.Covered.Has(t.settings.DispatcherIndex) || t.digest.Missing.Has(t.settings.DispatcherIndex)) {
			was = t.lastCounted[i]
		}
		others := max(0, sum+t.digest.MissingSums[i]-t.digest.MissingMoved[i]-was)
		high := max(0, sum+t.digest.MissingSums[i]-was)
		if unknown > 0 && v.Heard > 0 {
			high += sum / float64(v.Heard) * float64(unknown)
		}
		v.Totals[i] = Total{Low: x, Likely: x + others, High: x + high}
		if !v.Stale {
			v.Totals[i].Low = max(x, min(sum, x+others))
			continue
		}
		// Nobody is heard: what has come to us since may be what the others had.
		v.Totals[i].Likely = max(x, x+keep*max(0, others-max(0, x-was)))
	}
	if by >= 0 && by < t.settings.Values && t.digest.Sums[by] > 0 {
		v.Scale = max(1, (t.digest.Sums[by]+t.digest.MissingSums[by]-t.digest.MissingMoved[by])/t.digest.Sums[by])
	}
	return v
}
