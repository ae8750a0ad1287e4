// Package aggregate sums values over a fleet of dispatchers, such as calls per second by tenant.
// Each dispatcher has its own values and computes an estimate of the totals.
//
// Each dispatcher reports its values to the leader of the term, and the leader sends a digest to
// all. The digest contains the sums of the reports received, the set of dispatchers that they cover
// and, for missing dispatchers, the values that they last contributed. A partial sum is therefore
// never mistaken for the total, and a dispatcher that does not report is not counted as idle. A
// report quotes the values that its sender contributed to the last digest, if they differ from its
// current values. The contribution of the missing dispatchers can then be computed exactly without
// storing the values of each dispatcher: it is the last digest less the quoted contributions.
//
// The package is a pure state machine without clock, goroutine or I/O. Its inputs are events with
// their times; its outputs are reports, digests and a view of the totals. Times are nanoseconds of
// the caller's clock, as in package balancer. Digests are numbered by that clock, and digests whose
// number differs from the local clock by more than two terms are dropped.
package aggregate

import (
	"math"
	"slices"
)

// maxSkewTerms is the maximum clock difference between two dispatchers, and the time for which
// the sequence numbers of reports and digests are compared, both in terms.
const maxSkewTerms = 2

// Settings configures an Aggregator. Times are in nanoseconds.
type Settings struct {
	DispatcherIndex int // index of this dispatcher, from 0
	Dispatchers     int // number in the fleet, including this one
	Values          int // number of values in each report
	// Transient is the number of values at the end of the list that change too quickly to be quoted
	// when they have changed.
	Transient int
	Term      int64 // time for which one dispatcher is the leader
	Tick      int64 // unit of digest numbers; digests of one leader with equal numbers are the same
	DecayTime int64 // time constant with which the values of missing dispatchers decay
}

// Aggregator holds the aggregation state of one dispatcher. Create one with New. It is not safe for
// concurrent use.
type Aggregator struct {
	settings    Settings
	incarnation uint8
	local       []float64 // own values
	lastSeq     uint8     // sequence number of the last report sent
	sentValues  []float64 // values of the last report sent; nil: none

	reports []receivedReport // as the leader: the last report from each dispatcher

	hasDigest  bool
	digest     Digest // the last digest accepted
	digestAt   int64  // when it was received
	digestFrom int    // index of the leader that sent it

	everCounted bool      // a digest has covered this dispatcher since its start
	lastCounted []float64 // own values in the last digest that covered this dispatcher

	// Dropped is the number of reports and digests that were rejected as duplicate, late, from a
	// previous incarnation, with too much clock skew, or with a different number of values.
	Dropped int
}

// New returns an Aggregator. The incarnation of the dispatcher is derived from now, so two
// consecutive incarnations are distinguished if they start at least one second apart.
func New(now int64, settings Settings) *Aggregator {
	settings.Dispatchers = max(1, settings.Dispatchers)
	settings.Transient = min(max(0, settings.Transient), settings.Values)
	settings.Term = max(1, settings.Term)
	settings.Tick = max(1, settings.Tick)
	settings.DecayTime = max(1, settings.DecayTime)
	return &Aggregator{
		settings:    settings,
		incarnation: uint8(now / 1e9),
		local:       make([]float64, settings.Values),
		reports:     make([]receivedReport, settings.Dispatchers),
	}
}

// SetLocal sets the values of this dispatcher.
func (a *Aggregator) SetLocal(values []float64) { copy(a.local, values) }

// tick returns the number of a digest created at now.
func (a *Aggregator) tick(now int64) uint16 { return uint16(now / a.settings.Tick) }

// HandleDigest processes a digest from the leader with index from. It returns false if the digest
// is rejected: it is late, has too much clock skew or a different number of values, or another
// leader has sent one with the same number.
func (a *Aggregator) HandleDigest(now int64, from int, digest Digest) bool {
	since := int16(digest.Tick - a.digest.Tick) // ticks wrap around
	recent := a.hasDigest && now-a.digestAt < maxSkewTerms*a.settings.Term
	superseded := recent && (since < 0 || since == 0 && from != a.digestFrom)
	if len(digest.Sums) != a.settings.Values || a.skewed(now, digest.Tick) || superseded {
		a.Dropped++
		return false
	}
	if recent && since == 0 && slices.Equal(digest.Sums, a.digest.Sums) {
		return true // a duplicate, or resent with more counts
	}
	a.hasDigest, a.digest, a.digestAt, a.digestFrom = true, digest, now, from
	if digest.Covered.Has(a.settings.DispatcherIndex) {
		counted := a.sentValues
		if from == a.settings.DispatcherIndex || counted == nil {
			counted = a.local
		}
		a.lastCounted, a.everCounted = slices.Clone(counted), true
	}
	return true
}

// skewed reports whether the number of a digest differs too much from this dispatcher's clock.
func (a *Aggregator) skewed(now int64, tick uint16) bool {
	limit := int16(min(maxSkewTerms*a.settings.Term/a.settings.Tick, math.MaxInt16/2))
	offset := int16(tick - a.tick(now)) // ticks wrap around
	return offset > limit || offset < -limit
}
