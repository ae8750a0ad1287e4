// Package aggregate sums values over a fleet of dispatchers, such as calls a second by tenant: each
// dispatcher has values of its own and wants their totals.
//
// Each dispatcher reports its values to the leader of the term, and the leader sends a digest to
// all: the sums over the reports that it has, the set of dispatchers that these cover and, for
// those missing, what they last added to such sums. So a partial sum is never taken for the total,
// and a dispatcher that does not report is remembered instead of counted as idle. A report quotes
// what its sender added to the last digest, where that differs from its present values; what is
// missing then follows exactly, without the values of each dispatcher: it is the last digest less
// what the present dispatchers had added to it.
//
// The package is a pure state machine: it has no clock, goroutine or I/O. Events come in with their
// time; reports, digests and a view of the totals come out. Times are nanoseconds of the caller's
// clock, as in package balancer. Digests are numbered by that clock, and those whose number is off
// by more than two terms are dropped.
package aggregate

import (
	"math"
	"slices"
)

// maxSkewTerms is by how many terms the clock of another dispatcher may differ from this one's, and
// for how many terms the sequence numbers of reports and digests are compared.
const maxSkewTerms = 2

// Settings of an Aggregator. Times are in nanoseconds.
type Settings struct {
	DispatcherIndex int // of this dispatcher, from 0
	Dispatchers     int // in the fleet, this one included
	Values          int // of each report
	// Transient is the number of values, the last ones, that change too quickly for their changes to
	// be quoted.
	Transient int
	Term      int64 // for which one dispatcher is the leader
	Tick      int64 // unit of the numbers of digests; digests of one leader with one number are the same
	DecayTime int64 // time constant with which the values of missing dispatchers decay
}

// Aggregator is the state of one dispatcher. Create one with New. It is not safe for concurrent
// use.
type Aggregator struct {
	settings    Settings
	incarnation uint8
	local       []float64 // own values
	lastSeq     uint8     // of the last report sent
	sentValues  []float64 // of the last report sent; nil: none

	reports []receivedReport // as the leader: the last report of each dispatcher

	hasDigest  bool
	digest     Digest // the last one
	digestAt   int64  // when it came
	digestFrom int    // index of the leader that made it

	everCounted bool      // a digest has covered this dispatcher since its start
	lastCounted []float64 // own values in the last digest that covered this dispatcher

	// Dropped is the number of reports and digests that were not accepted: duplicate, late, of a
	// past incarnation, of a clock too far off, or of another size.
	Dropped int
}

// New returns an Aggregator. now distinguishes this incarnation of the dispatcher from the one
// before, provided that at least a second lies between them.
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

// tick returns the number of a digest made now.
func (a *Aggregator) tick(now int64) uint16 { return uint16(now / a.settings.Tick) }

// HandleDigest takes a digest of the leader with index from. It reports whether the digest was
// accepted; it is not where it is late, duplicate with other sums, of a clock too far off, or of
// another size.
func (a *Aggregator) HandleDigest(now int64, from int, digest Digest) bool {
	since := int16(digest.Tick - a.digest.Tick) // ticks wrap around
	recent := a.hasDigest && now-a.digestAt < maxSkewTerms*a.settings.Term
	superseded := recent && (since < 0 || since == 0 && from != a.digestFrom)
	if len(digest.Sums) != a.settings.Values || a.skewed(now, digest.Tick) || superseded {
		a.Dropped++
		return false
	}
	if recent && since == 0 && slices.Equal(digest.Sums, a.digest.Sums) {
		return true // a duplicate, or sent again with further counts
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

// skewed reports whether the number of a digest is too far from those of this dispatcher's clock.
func (a *Aggregator) skewed(now int64, tick uint16) bool {
	limit := int16(min(maxSkewTerms*a.settings.Term/a.settings.Tick, math.MaxInt16/2))
	offset := int16(tick - a.tick(now)) // ticks wrap around
	return offset > limit || offset < -limit
}
