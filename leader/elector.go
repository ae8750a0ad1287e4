// Package leader determines from the received digests which dispatchers are alive, and which of
// them are assigned a task that only some should do, such as leading a term (collecting the reports
// and sending the digest) or sending a trial to an ejected worker. It has no clock, goroutine or
// I/O and executes no task. Dispatchers that have received the same digests compute the same
// assignment without exchanging messages.
//
// A dispatcher is alive while a digest of the last aliveTerms terms covers it. The tasks of a
// crashed dispatcher are therefore reassigned within these terms. The two sides of a network
// partition have separate assignments; after it ends, one digest from each side is enough for all
// to know every dispatcher again. A dispatcher that has received no recent digest considers all
// configured dispatchers alive.
//
// Tasks are assigned by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998):
// when a dispatcher joins or leaves, only its own tasks are reassigned. Digests are numbered by
// term, so that a digest that a stalled leader sends for an old term is dropped as late.
//
// Times are nanoseconds of the caller's clock, as in package balancer.
package leader

// aliveTerms is the number of terms for which the dispatchers that a digest covers are considered
// alive. With two, one digest may be lost.
const aliveTerms = 2

// Set is a set of dispatchers by index, such as aggregate.NodeSet.
type Set interface{ Has(i int) bool }

// Elector is one dispatcher's view of which dispatchers are alive. Create one with New. It is not
// safe for concurrent use.
type Elector struct {
	self       int
	term       int64   // length of a term, nanoseconds
	aliveUntil []int64 // by dispatcher index; 0: no digest has covered it

	elected     bool // electedTerm and leader are set
	electedTerm int64
	leader      int // of electedTerm
}

// New returns the Elector of the dispatcher with index self in a fleet of the given number of
// dispatchers. term is the length of a term in nanoseconds.
func New(self, dispatchers int, term int64) *Elector {
	return &Elector{self: self, term: max(1, term), aliveUntil: make([]int64, max(1, dispatchers))}
}

// SetTerm changes the length of a term, in nanoseconds.
func (e *Elector) SetTerm(term int64) { e.term = max(1, term) }

// ObserveDigest records the dispatchers that a digest covers.
func (e *Elector) ObserveDigest(now int64, covered Set) {
	for i := range e.aliveUntil {
		if covered.Has(i) {
			e.aliveUntil[i] = now + aliveTerms*e.term
		}
	}
}

// Alive reports whether dispatcher i is alive. While this dispatcher is isolated, it considers all
// alive.
func (e *Elector) Alive(now int64, i int) bool {
	return i == e.self || e.aliveUntil[i] > now || e.Isolated(now)
}

// AliveCount returns the number of dispatchers that are alive.
func (e *Elector) AliveCount(now int64) (n int) {
	for i := range e.aliveUntil {
		if e.Alive(now, i) {
			n++
		}
	}
	return n
}

// Isolated reports whether no digest of the last aliveTerms terms covers another dispatcher.
func (e *Elector) Isolated(now int64) bool {
	for i, until := range e.aliveUntil {
		if i != e.self && until > now {
			return false
		}
	}
	return true
}

// Assigned reports whether this dispatcher is among the k alive dispatchers with the highest
// weights for a task. The key identifies the task and its term.
func (e *Elector) Assigned(now int64, key uint64, k int) bool {
	own, isolated := weight(key, e.self), e.Isolated(now)
	for i, until := range e.aliveUntil {
		alive := isolated || until > now
		if i == e.self || !alive || weight(key, i) <= own {
			continue
		}
		k--
		if k <= 0 {
			return false
		}
	}
	return k > 0
}

// Leader returns the index of the leader in the term that contains now. It does not change during a
// term.
func (e *Elector) Leader(now int64) int {
	if term := now / e.term; !e.elected || term != e.electedTerm {
		e.elected, e.electedTerm, e.leader = true, term, e.elect(now, uint64(term))
	}
	return e.leader
}

// elect returns the index of the alive dispatcher with the highest weight for a term.
func (e *Elector) elect(now int64, term uint64) int {
	best, highest, isolated := e.self, weight(term, e.self), e.Isolated(now)
	for i, until := range e.aliveUntil {
		alive := isolated || until > now
		if i == e.self || !alive {
			continue
		}
		if w := weight(term, i); w > highest {
			best, highest = i, w
		}
	}
	return best
}

// weight returns the rendezvous-hashing weight of dispatcher i for a key.
func weight(key uint64, i int) uint64 { return mix(key ^ mix(uint64(i)+1)) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
