// Package ring finds, for a key, a window of members that is the same wherever the same members are known: consistent hashing
// (Karger et al., STOC 1997) of functions over executors. It has no I/O, clock, goroutine or randomness. It must never depend on
// the order in which members came and went, nor know loads or health: who of a window takes a call is the caller's to decide.
//
// Each member has a few tokens on a circle of 64-bit points, a key has one. A window holds the members that follow the key's point,
// each once, in the order of their first token. So one member more or less changes a window by one member at most, and rings of
// which one has a members and the other b that its fellow lacks share all but max(a, b) of each window.
package ring

import (
	"cmp"
	"slices"
)

// tokensPerMember is how many points a member has on the circle. Measured at 9,600 members, over all keys (TestShares; members numbered in
// turn and three lists of random ids): the share of windows that a member has, least to largest, over the mean.
//
//	tokens   windows of 16   windows of 32   bytes a member has in points
//	     1   0.26 to 2.31    0.45 to 1.81    16
//	     2   0.34 to 2.30    0.38 to 1.67    32
//	     4   0.54 to 1.59    0.62 to 1.48    64
//	     8   0.66 to 1.38    0.71 to 1.27    128
//
// Two are hardly more even than one. Eight double what a change of the list costs for a fifth less at the top, and who is in too
// many windows is left out of some for its load anyway. A look-up costs much the same with any of these.
const tokensPerMember = 4

// Ring is a set of members, each with a value. The zero value is empty. Not safe for concurrent use: Window may sort.
type Ring[T any] struct {
	slots        map[uint32]int32 // of each member, by id
	members      []member[T]      // by slot
	freeSlots    []int32          // slots of no member and no token
	removedSlots []int32          // slots of no member, of which tokens are left
	points       []point          // of all tokens, by position; complete once settled
	pending      []point          // not among points yet, unsorted
}

type member[T any] struct {
	value     T
	present   bool
	lastPoint int32 // scratch of settle: the index of the token of it met last
}

// point is where a token of a member stands. No two are at one position: position is a bijection.
type point struct {
	position uint64
	slot     int32
	distance int32 // how many points before this one the last token of the same member stands, round the circle
}

// Len is the number of members.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Add puts in a member with its value. It returns false where the member is there already; its value is then replaced.
func (r *Ring[T]) Add(id uint32, v T) bool {
	if s, ok := r.slots[id]; ok {
		r.members[s].value = v
		return false
	}
	var s int32
	if n := len(r.freeSlots); n > 0 {
		s, r.freeSlots = r.freeSlots[n-1], r.freeSlots[:n-1]
	} else {
		s, r.members = int32(len(r.members)), append(r.members, member[T]{})
	}
	if r.slots == nil {
		r.slots = map[uint32]int32{}
	}
	r.slots[id] = s
	r.members[s] = member[T]{value: v, present: true}
	for i := range uint64(tokensPerMember) {
		r.pending = append(r.pending, point{position: hashPosition(uint64(id)*tokensPerMember + i), slot: s})
	}
	return true
}

// Remove takes out a member. It returns false where there is none of that id.
func (r *Ring[T]) Remove(id uint32) bool {
	s, ok := r.slots[id]
	if !ok {
		return false
	}
	delete(r.slots, id)
	r.members[s] = member[T]{}
	r.removedSlots = append(r.removedSlots, s)
	if len(r.removedSlots) > 64+len(r.slots) { // else members that come and go without a look-up would pile up
		r.rebuild()
	}
	return true
}

// Window appends to out the values of the n distinct members that follow the key's point, after skip others; fewer where there are
// no more. It takes O(log Len + skip + n), and O(Len) more where members have come or gone since the last one. It allocates
// nothing where out has room and no member has come since.
func (r *Ring[T]) Window(out []T, key uint64, skip, n int) []T {
	r.rebuild()
	skip = max(skip, 0)
	n = min(n, len(r.slots)-skip)
	if n <= 0 {
		return out
	}
	i := r.firstAtOrAfter(hashPosition(^key))
	for walked := int32(0); n > 0; walked++ {
		if i == len(r.points) {
			i = 0
		}
		if p := &r.points[i]; p.distance > walked { // the first token of its member on this walk
			if skip > 0 {
				skip--
			} else {
				out = append(out, r.members[p.slot].value)
				n--
			}
		}
		i++
	}
	return out
}

// firstAtOrAfter is the index of the first point at or after a position, len(points) where there is none.
func (r *Ring[T]) firstAtOrAfter(at uint64) int {
	low, high := 0, len(r.points)
	for low < high {
		if mid := int(uint(low+high) / 2); r.points[mid].position < at {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// rebuild brings points up to date, in O(Len) and what sorting the tokens added takes.
func (r *Ring[T]) rebuild() {
	if len(r.pending)+len(r.removedSlots) == 0 {
		return
	}
	if len(r.removedSlots) > 0 {
		gone := func(p point) bool { return !r.members[p.slot].present }
		r.points, r.pending = slices.DeleteFunc(r.points, gone), slices.DeleteFunc(r.pending, gone)
		r.freeSlots, r.removedSlots = append(r.freeSlots, r.removedSlots...), r.removedSlots[:0]
	}
	slices.SortFunc(r.pending, func(a, b point) int { return cmp.Compare(a.position, b.position) })
	old, more := len(r.points), len(r.pending)
	r.points = slices.Grow(r.points, more)[:old+more]
	for to := old + more - 1; more > 0; to-- { // merged from the back, in place
		if old > 0 && r.points[old-1].position > r.pending[more-1].position {
			old--
			r.points[to] = r.points[old]
		} else {
			more--
			r.points[to] = r.pending[more]
		}
	}
	r.pending = r.pending[:0]
	if cap(r.pending) > len(r.points)/4 {
		r.pending = nil // a first list, not a change of it
	}
	for i, p := range r.points {
		r.members[p.slot].lastPoint = int32(i - len(r.points))
	}
	for i := range r.points {
		p := &r.points[i]
		m := &r.members[p.slot]
		p.distance, m.lastPoint = int32(i)-m.lastPoint, int32(i)
	}
}

// hashPosition is output x of the SplitMix64 generator seeded with 0 (Steele, Lea, Flood, OOPSLA 2014). Members' tokens are numbered
// below 2^34, keys are turned round, so that small numbers of both don't meet.
func hashPosition(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
