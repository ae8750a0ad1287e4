// Package turns says who of the dispatchers is there, and whose turn a task is that only some should do: to collect reports,
// to try an executor that is out. It has no clock, goroutine or I/O and does no task itself: it is told whom digests cover,
// and answers from that alone, so that all who have heard the same digests give the same answer.
//
// A dispatcher is there while a digest of the last terms covers it. So the turn of one that died falls to another within these
// terms, two halves that don't hear each other each have turns of their own, and after that one digest of each side is enough
// for both to know all. Who has heard no digest lately goes by the settings: all are there.
//
// Turns are drawn by rendezvous hashing: when a dispatcher comes or goes, only turns that are or were its own move. A turn is
// fenced by its term: what a collector that stood still sends for an old one is numbered by that, and dropped as late.
//
// Times are nanoseconds of the caller's clock, as in decide.
package leader

// lasts is for how many terms whom a digest covers counts as there: one digest in that time is enough, and one may be lost.
const lasts = 2

// Set is a set of dispatchers by number, such as aggregate.Set.
type Set interface{ Has(i int) bool }

// Elector is what one dispatcher knows of the others. Make one with New.
type Elector struct {
	self  int
	term  int64
	until []int64 // each counts as there until then; 0: never covered

	now       int64 // the term for which collector was drawn
	drawn     bool
	collector int
}

// New makes the roll of dispatcher self of n, with terms of so long.
func New(self, n int, term int64) *Elector {
	return &Elector{self: self, term: max(1, term), until: make([]int64, max(1, n))}
}

// SetTerm changes how long a term is.
func (r *Elector) SetTerm(term int64) { r.term = max(1, term) }

// ObserveDigest takes whom a digest covers.
func (r *Elector) ObserveDigest(now int64, covered Set) {
	for i := range r.until {
		if covered.Has(i) {
			r.until[i] = now + lasts*r.term
		}
	}
}

// Alive tells whether dispatcher i is there. Until a digest has covered another than ourselves lately, all are.
func (r *Elector) Alive(now int64, i int) bool {
	return i == r.self || r.until[i] > now || r.alone(now)
}

// AliveCount is how many are there.
func (r *Elector) AliveCount(now int64) (n int) {
	for i := range r.until {
		if r.Alive(now, i) {
			n++
		}
	}
	return n
}

func (r *Elector) alone(now int64) bool {
	for i, until := range r.until {
		if i != r.self && until > now {
			return false
		}
	}
	return true
}

// Assigned tells whether a task is ours: whether we are among the k dispatchers there that its key draws. The key holds the
// task's name and its term.
func (r *Elector) Assigned(now int64, key uint64, k int) bool {
	mine, alone := draw(key, r.self), r.alone(now)
	for i, until := range r.until {
		if i != r.self && (alone || until > now) && draw(key, i) > mine {
			if k--; k <= 0 {
				return false
			}
		}
	}
	return k > 0
}

// Leader is whose turn it is to collect in the term of now. It stays the same for the whole of a term.
func (r *Elector) Leader(now int64) int {
	if t := now / r.term; !r.drawn || t != r.now {
		r.now, r.drawn, r.collector = t, true, r.self
		best, alone := draw(uint64(t), r.self), r.alone(now)
		for i, until := range r.until {
			if x := draw(uint64(t), i); i != r.self && (alone || until > now) && x > best {
				best, r.collector = x, i
			}
		}
	}
	return r.collector
}

// draw is how high a key ranks a dispatcher.
func draw(key uint64, i int) uint64 { return mix(key ^ mix(uint64(i)+1)) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
