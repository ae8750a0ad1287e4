package aggregate

import (
	"math"
	"slices"
)

// minRelativeChange is the relative change since the last digest, in addition to the square root of
// the value, from which a value is quoted: for a rate averaged over some seconds, smaller
// differences are random.
const minRelativeChange = 0.1

// Report contains the values that one dispatcher reports to the leader.
type Report struct {
	Incarnation uint8     // distinguishes restarts of the dispatcher; wraps around
	Seq         uint8     // sequence number within an incarnation; wraps around
	Values      []float64 // 0 or more, in the caller's units
	// LastCounted are this dispatcher's values as counted in the last digest. An element that is
	// about equal to the one in Values is NaN; nil if all are.
	LastCounted []float64
	Fresh       bool // no digest has covered this dispatcher since its start
}

// receivedReport is the last report received from one dispatcher.
type receivedReport struct {
	Report
	receivedAt int64
	valid      bool // a report has been received
}

// NextReport returns the next report to be sent. Pass it to ReportSent after sending it.
func (a *Aggregator) NextReport() Report {
	report := Report{
		Incarnation: a.incarnation,
		Seq:         a.lastSeq + 1,
		Values:      slices.Clone(a.local),
		Fresh:       !a.everCounted,
	}
	if a.everCounted {
		report.LastCounted = a.quotedValues()
	}
	return report
}

// quotedValues returns this dispatcher's values as counted in the last digest, with NaN for values
// that are about the same now, or nil if all are. If the last digest does not cover this
// dispatcher, all values are quoted.
func (a *Aggregator) quotedValues() []float64 {
	quoteAll := !a.digest.Covered.Has(a.settings.DispatcherIndex)
	quotable := a.settings.Values - a.settings.Transient
	anyQuoted := false
	quoted := slices.Clone(a.lastCounted)
	for i, x := range a.local {
		if quoteAll || i < quotable && differs(quoted[i], x) {
			anyQuoted = true
		} else {
			quoted[i] = math.NaN()
		}
	}
	if !anyQuoted {
		return nil
	}
	return quoted
}

// ReportSent records that a report was sent.
func (a *Aggregator) ReportSent(report Report) { a.lastSeq, a.sentValues = report.Seq, report.Values }

// differs reports whether two values differ by more than random variation.
func differs(a, b float64) bool {
	return math.Abs(a-b) > minRelativeChange*math.Max(a, b)+1+math.Sqrt(math.Max(a, b))
}

// HandleReport processes the report of the dispatcher with index from. It returns false if the
// report is rejected: it is late, duplicate, from a previous incarnation, has a different number of
// values, or does not come from another dispatcher of the fleet.
func (a *Aggregator) HandleReport(now int64, from int, report Report) bool {
	if !a.wellFormed(from, report) {
		a.Dropped++
		return false
	}
	last := &a.reports[from]
	// Sequence numbers wrap around, and a dispatcher may become the leader again after any number
	// of reports to other leaders, so numbers are compared only for a limited time. After that, no
	// old report is still in transit.
	recent := last.valid && now-last.receivedAt < maxSkewTerms*a.settings.Term
	if recent && !report.follows(last.Report) {
		a.Dropped++
		return false
	}
	*last = receivedReport{report, now, true}
	return true
}

// wellFormed reports whether a report comes from another dispatcher of the fleet and has the right
// number of values.
func (a *Aggregator) wellFormed(from int, report Report) bool {
	if from < 0 || from >= a.settings.Dispatchers || from == a.settings.DispatcherIndex {
		return false
	}
	if len(report.Values) != a.settings.Values {
		return false
	}
	return report.LastCounted == nil || len(report.LastCounted) == a.settings.Values
}

// follows reports whether r was sent after other, by incarnation and sequence number.
func (r Report) follows(other Report) bool {
	if r.Incarnation == other.Incarnation {
		return newer(r.Seq, other.Seq)
	}
	return !newer(other.Incarnation, r.Incarnation)
}

// newer reports whether a follows b in numbers that wrap around (serial number arithmetic,
// RFC 1982).
func newer(a, b uint8) bool { return a != b && a-b < 128 }
