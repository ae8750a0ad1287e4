package leader

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const term = int64(800e6) // nanoseconds

type set map[int]bool

func (s set) Has(i int) bool { return s[i] }

// newElectors returns one elector for each of n dispatchers.
func newElectors(n int) (electors []*Elector) {
	for i := range n {
		electors = append(electors, New(i, n, term))
	}
	return electors
}

// setOf returns the set of the given indices.
func setOf(indices ...int) set {
	s := set{}
	for _, i := range indices {
		s[i] = true
	}
	return s
}

// assignedCount returns the number of dispatchers in alive that have a task assigned.
func assignedCount(electors []*Elector, now int64, key uint64, k int, alive set) (n int) {
	for i, e := range electors {
		if alive[i] && e.Assigned(now, key, k) {
			n++
		}
	}
	return n
}

// TestTasksOfCrashedDispatchersAreReassigned checks that the tasks of crashed dispatchers are
// unassigned for at most two terms, and that dispatchers with the same view assign each task to
// exactly k of them.
func TestTasksOfCrashedDispatchersAreReassigned(t *testing.T) {
	electors := newElectors(6)
	all, survivors := setOf(0, 1, 2, 3, 4, 5), setOf(1, 4)
	now := 100 * term
	for key := range uint64(200) {
		assert.Equal(t, 1, assignedCount(electors, now, key, 1, all), "no digest yet: all are considered alive")
		assert.Equal(t, 3, assignedCount(electors, now, key, 3, all))
	}
	for _, e := range electors {
		e.ObserveDigest(now, all)
	}
	unassigned := 0
	for key := range uint64(200) {
		unassigned += 1 - assignedCount(electors, now+term, key, 1, survivors)
	}
	assert.Greater(t, unassigned, 100, "the tasks of four of six are unassigned just after they crash")
	for i := range survivors {
		electors[i].ObserveDigest(now+term, survivors)
	}
	now += aliveTerms * term
	for key := range uint64(200) {
		assert.Equal(t, 1, assignedCount(electors, now, key, 1, survivors), "two terms later every task is assigned")
		assert.Equal(t, 2, assignedCount(electors, now, key, 5, survivors))
	}
	assert.Equal(t, 2, electors[1].AliveCount(now))
	assert.Equal(t, 6, electors[1].AliveCount(now+aliveTerms*term), "without digests all are considered alive")
}

// TestLeaderDoesNotChangeDuringATerm checks that digests received during a term do not change its
// leader, and that after a partition has ended both sides elect the same leader once they have one
// digest from each side.
func TestLeaderDoesNotChangeDuringATerm(t *testing.T) {
	electors := newElectors(8)
	now := 1000 * term
	left, right := setOf(0, 1, 2, 3), setOf(4, 5, 6, 7)
	for i, e := range electors {
		if left[i] {
			e.ObserveDigest(now, left)
		} else {
			e.ObserveDigest(now, right)
		}
	}
	for step := range int64(20) {
		at := now + step*term/20
		for i, e := range electors {
			elected := e.Leader(at)
			assert.True(t, left[i] == left[elected], "dispatcher %d: leader on its own side of the partition", i)
			assert.Equal(t, electors[i/4*4].Leader(at), elected)
		}
	}
	for _, e := range electors { // the partition ends, and all receive both digests
		before := e.Leader(now + term/2)
		e.ObserveDigest(now+term/2, left)
		e.ObserveDigest(now+term/2, right)
		assert.Equal(t, before, e.Leader(now+3*term/4), "unchanged during the term")
	}
	for _, e := range electors {
		assert.Equal(t, electors[0].Leader(now+term), e.Leader(now+term))
	}
}

// TestTasksAreDistributedEvenlyWithFewReassignments checks that tasks are distributed evenly, that
// each is assigned to exactly k alive dispatchers, and that a dispatcher that leaves causes no
// other dispatcher to lose a task.
func TestTasksAreDistributedEvenlyWithFewReassignments(t *testing.T) {
	for _, n := range []int{3, 12, 80, 300} {
		electors := newElectors(n)
		count := make([]int, n)
		const keys = 3000
		for key := range uint64(keys * max(1, n/12)) {
			for i, e := range electors[:min(n, 12)] { // a sample of twelve is enough
				if e.Assigned(term, key*0x9e3779b97f4a7c15, 1) {
					count[i]++
				}
			}
		}
		mean := float64(keys*max(1, n/12)) / float64(n)
		for i := range min(n, 12) {
			assert.InDelta(t, 1, float64(count[i])/mean, 0.25, fmt.Sprint(n, " dispatchers, ", i))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "n")
		alive := set{}
		for i := range n {
			if rapid.Bool().Draw(t, "alive") {
				alive[i] = true
			}
		}
		electors := newElectors(n)
		for i := range electors {
			electors[i].ObserveDigest(term, alive)
		}
		key, k := rapid.Uint64().Draw(t, "key"), rapid.IntRange(1, 4).Draw(t, "k")
		aliveCount := 0
		for i := range n {
			if alive[i] {
				aliveCount++
			}
		}
		if aliveCount > 1 {
			if got := assignedCount(electors, 2*term, key, k, alive); got != min(k, aliveCount) {
				t.Fatalf("assigned to %d of the alive dispatchers %v, task for %d", got, alive, k)
			}
		}
		leaving := rapid.IntRange(0, n-1).Draw(t, "leaving")
		if !alive[leaving] || aliveCount < 3 {
			return
		}
		remaining := set{}
		for i := range alive {
			remaining[i] = i != leaving && alive[i]
		}
		after := newElectors(n)
		for i := range after {
			after[i].ObserveDigest(term, remaining)
		}
		for i := range n {
			if remaining[i] && electors[i].Assigned(2*term, key, 1) && !after[i].Assigned(2*term, key, 1) {
				t.Fatalf("dispatcher %d lost a task when dispatcher %d left", i, leaving)
			}
		}
	})
}

// TestTasksUnderEveryViewOfThreeDispatchers covers every combination of digests that three
// dispatchers may have received: the number of dispatchers that are assigned a task is at most the
// number of distinct views, and exactly one if the views agree. A task may be unassigned only while
// the views differ.
func TestTasksUnderEveryViewOfThreeDispatchers(t *testing.T) {
	cases := 0
	for views := range 8 * 8 * 8 {
		electors := newElectors(3)
		distinct := map[int]bool{}
		for i := range electors {
			v := views >> (3 * i) & 7
			electors[i].ObserveDigest(term, setOf(pick(v, 0), pick(v, 1), pick(v, 2)))
			v |= 1 << i // each considers itself alive
			if v == 1<<i {
				v = 7 // isolated: all are considered alive
			}
			distinct[v] = true
		}
		for key := range uint64(40) {
			cases++
			got := assignedCount(electors, 2*term, key, 1, setOf(0, 1, 2))
			if got > len(distinct) || got == 0 && len(distinct) == 1 {
				t.Fatalf("views %o: assigned to %d dispatchers with %d distinct views", views, got, len(distinct))
			}
		}
	}
	t.Logf("%d cases", cases)
}

// pick returns i if bit i of v is set, else -1, which is the index of no dispatcher.
func pick(v, i int) int {
	if v>>i&1 != 0 {
		return i
	}
	return -1
}

// BenchmarkAssigned measures one call of Assigned.
func BenchmarkAssigned(b *testing.B) {
	for _, n := range []int{5, 80, 300} {
		e := New(0, n, term)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				e.Assigned(int64(i), uint64(i), 5)
			}
		})
	}
}
