// Package ring implements consistent hashing (Karger et al., STOC 1997): for a key it finds a
// window of members that is the same wherever the same members are known. Package balancer uses it
// to place functions on workers. It has no I/O, clock, goroutine or randomness, and the result does
// not depend on the order in which members came and went. It knows neither loads nor health: which
// member of a window takes a call is the caller's decision.
//
// Each member has a few tokens on a circle of 64-bit positions, and a key has one position. A
// window holds the members whose tokens follow the key's position, each member once, in the order
// of its first token. So adding or removing one member changes a window by one member at the most,
// and two rings of which one has a members and the other has b members that its fellow lacks share
// all but max(a, b) members of each window.
package ring

import (
	"cmp"
	"slices"
)

// tokensPerMember is the number of tokens of a member. The table was measured by TestShares with
// 9,600 members, over all keys, with members numbered in turn and three lists of random ids: the
// part of all windows that a member is in, least to largest, over the mean.
//
//	tokens   windows of 16   windows of 32   bytes a member has in points
//	     1   0.26 to 2.31    0.45 to 1.81    16
//	     2   0.34 to 2.30    0.38 to 1.67    32
//	     4   0.54 to 1.59    0.62 to 1.48    64
//	     8   0.66 to 1.38    0.71 to 1.27    128
//
// Two are hardly more even than one. Eight double the cost of a change of members for a fifth less
// at the top, and a member that is in too many windows is avoided in some of them for its load
// anyway. The cost of a lookup is much the same with all of these.
const tokensPerMember = 4

// minPendingRemovals is the number of removed members from which Remove may rebuild the ring.
const minPendingRemovals = 64

// Ring is a set of members, each with a value. The zero value is empty. It is not safe for
// concurrent use, also of Window alone, which may rebuild it.
type Ring[T any] struct {
	slots        map[uint32]int32 // of each member, by id
	members      []member[T]      // by slot
	freeSlots    []int32          // without a member or tokens
	removedSlots []int32          // without a member, whose tokens are still among points
	points       []point          // of all tokens, by position; complete after rebuild
	pending      []point          // of new tokens, not among points yet, unsorted
}

// member is a slot for one member.
type member[T any] struct {
	value     T
	present   bool  // the slot has a member
	lastPoint int32 // used by rebuild only: index of the last token of this member that it has passed
}

// point is the position of a token of a member. No two points have the same position, since
// hashPosition is a bijection.
type point struct {
	position uint64
	slot     int32
	// distance is how many points before this one, round the circle, the previous token of the same
	// member is.
	distance int32
}

// Len returns the number of members.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Add adds a member with its value. It returns false where the member is present already; its value
// is then replaced.
func (r *Ring[T]) Add(id uint32, value T) bool {
	if slot, ok := r.slots[id]; ok {
		r.members[slot].value = value
		return false
	}
	slot := r.allocateSlot()
	if r.slots == nil {
		r.slots = map[uint32]int32{}
	}
	r.slots[id] = slot
	r.members[slot] = member[T]{value: value, present: true}
	for i := range uint64(tokensPerMember) {
		r.pending = append(r.pending, point{position: hashPosition(uint64(id)*tokensPerMember + i), slot: slot})
	}
	return true
}

// allocateSlot returns a slot without a member or tokens.
func (r *Ring[T]) allocateSlot() int32 {
	if n := len(r.freeSlots); n > 0 {
		slot := r.freeSlots[n-1]
		r.freeSlots = r.freeSlots[:n-1]
		return slot
	}
	r.members = append(r.members, member[T]{})
	return int32(len(r.members) - 1)
}

// Remove removes a member. It returns false where there is none of that id.
func (r *Ring[T]) Remove(id uint32) bool {
	slot, ok := r.slots[id]
	if !ok {
		return false
	}
	delete(r.slots, id)
	r.members[slot] = member[T]{}
	r.removedSlots = append(r.removedSlots, slot)
	// Members that come and go without a lookup must not accumulate.
	if len(r.removedSlots) > minPendingRemovals+len(r.slots) {
		r.rebuild()
	}
	return true
}

// Window appends to out the values of the n distinct members that follow the key's position, after
// skip others, and returns it; fewer where there are no more members. It takes O(log Len + skip +
// n), and O(Len) more where members have been added or removed since the last call. It allocates
// nothing where out has room and no member has been added since.
func (r *Ring[T]) Window(out []T, key uint64, skip, n int) []T {
	r.rebuild()
	skip = max(skip, 0)
	n = min(n, len(r.slots)-skip)
	if n <= 0 {
		return out
	}
	i := r.firstAtOrAfter(hashPosition(^key))
	for passed := int32(0); n > 0; passed++ {
		if i == len(r.points) {
			i = 0
		}
		p := &r.points[i]
		i++
		if p.distance <= passed {
			continue // an earlier token of this member has been passed
		}
		if skip > 0 {
			skip--
			continue
		}
		out = append(out, r.members[p.slot].value)
		n--
	}
	return out
}

// firstAtOrAfter returns the index of the first point at or after a position, len(points) where
// there is none.
func (r *Ring[T]) firstAtOrAfter(position uint64) int {
	low, high := 0, len(r.points)
	for low < high {
		middle := int(uint(low+high) / 2)
		if r.points[middle].position < position {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// rebuild brings points up to date with the members, in O(Len) and the time to sort the new tokens.
func (r *Ring[T]) rebuild() {
	if len(r.pending)+len(r.removedSlots) == 0 {
		return
	}
	r.dropRemoved()
	r.mergePending()
	r.updateDistances()
}

// dropRemoved drops the tokens of removed members and frees their slots.
func (r *Ring[T]) dropRemoved() {
	if len(r.removedSlots) == 0 {
		return
	}
	removed := func(p point) bool { return !r.members[p.slot].present }
	r.points = slices.DeleteFunc(r.points, removed)
	r.pending = slices.DeleteFunc(r.pending, removed)
	r.freeSlots = append(r.freeSlots, r.removedSlots...)
	r.removedSlots = r.removedSlots[:0]
}

// mergePending sorts the new tokens and merges them into points, in place from the back.
func (r *Ring[T]) mergePending() {
	slices.SortFunc(r.pending, func(a, b point) int { return cmp.Compare(a.position, b.position) })
	old, added := len(r.points), len(r.pending)
	r.points = slices.Grow(r.points, added)[:old+added]
	for to := old + added - 1; added > 0; to-- {
		if old > 0 && r.points[old-1].position > r.pending[added-1].position {
			old--
			r.points[to] = r.points[old]
		} else {
			added--
			r.points[to] = r.pending[added]
		}
	}
	r.pending = r.pending[:0]
	if cap(r.pending) > len(r.points)/4 {
		r.pending = nil // a first list of members, not a change of it: free the memory
	}
}

// updateDistances sets the distance of each point.
func (r *Ring[T]) updateDistances() {
	for i, p := range r.points {
		r.members[p.slot].lastPoint = int32(i - len(r.points))
	}
	for i := range r.points {
		p := &r.points[i]
		m := &r.members[p.slot]
		p.distance = int32(i) - m.lastPoint
		m.lastPoint = int32(i)
	}
}

// hashPosition returns output x of the SplitMix64 generator seeded with 0 (Steele, Lea and Flood,
// OOPSLA 2014), a bijection. Tokens are numbered below 2^34 and keys are complemented, so that
// small numbers of both do not collide.
func hashPosition(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
