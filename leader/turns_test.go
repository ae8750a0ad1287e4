package leader

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const term = int64(800e6)

type set map[int]bool

func (s set) Has(i int) bool { return s[i] }

func rolls(n int) (rs []*Elector) {
	for i := range n {
		rs = append(rs, New(i, n, term))
	}
	return rs
}

func of(is ...int) set {
	s := set{}
	for _, i := range is {
		s[i] = true
	}
	return s
}

// takers are those of the dispatchers named that take a turn.
func takers(rs []*Elector, now int64, key uint64, k int, who set) (n int) {
	for i, r := range rs {
		if who[i] && r.Assigned(now, key, k) {
			n++
		}
	}
	return n
}

// Guards against turns that die with a dispatcher, and against two where all know the same.
func TestTurnsOfTheDeadPass(t *testing.T) {
	rs := rolls(6)
	all, living := of(0, 1, 2, 3, 4, 5), of(1, 4)
	now := 100 * term
	for key := range uint64(200) {
		assert.Equal(t, 1, takers(rs, now, key, 1, all), "nobody has heard anything: all are there")
		assert.Equal(t, 3, takers(rs, now, key, 3, all))
	}
	for _, r := range rs {
		r.ObserveDigest(now, all)
	}
	lost := 0
	for key := range uint64(200) {
		lost += 1 - takers(rs, now+term, key, 1, living)
	}
	assert.Greater(t, lost, 100, "just after four of six died their turns are lost")
	for i := range living {
		rs[i].ObserveDigest(now+term, living)
	}
	now += lasts * term
	for key := range uint64(200) {
		assert.Equal(t, 1, takers(rs, now, key, 1, living), "two terms later none is")
		assert.Equal(t, 2, takers(rs, now, key, 5, living))
	}
	assert.Equal(t, 2, rs[1].AliveCount(now))
	assert.Equal(t, 6, rs[1].AliveCount(now+lasts*term), "who hears nothing goes by the settings")
}

// Guards a term: whatever is heard in its course, it has one collector; and both sides of a cut that ends find the same one
// after one digest of each.
func TestCollectorOfATerm(t *testing.T) {
	rs := rolls(8)
	now := 1000 * term
	left, right := of(0, 1, 2, 3), of(4, 5, 6, 7)
	for i, r := range rs {
		if left[i] {
			r.ObserveDigest(now, left)
		} else {
			r.ObserveDigest(now, right)
		}
	}
	for step := range int64(20) {
		at := now + step*term/20
		for i, r := range rs {
			c := r.Leader(at)
			assert.True(t, left[i] == left[c], "dispatcher %d: a collector of its own side", i)
			assert.Equal(t, rs[i/4*4].Leader(at), c)
		}
	}
	for _, r := range rs { // the cut ends, both digests come to all
		before := r.Leader(now + term/2)
		r.ObserveDigest(now+term/2, left)
		r.ObserveDigest(now+term/2, right)
		assert.Equal(t, before, r.Leader(now+3*term/4), "not within the term")
	}
	for _, r := range rs {
		assert.Equal(t, rs[0].Leader(now+term), r.Leader(now+term))
	}
}

// For any members: turns are shared evenly, taken by k of those there exactly, and move only with those who come and go.
func TestTurnsAreFairAndMoveLittle(t *testing.T) {
	for _, n := range []int{3, 12, 80, 300} {
		rs := rolls(n)
		count := make([]int, n)
		const keys = 3000
		for key := range uint64(keys * max(1, n/12)) {
			for i, r := range rs[:min(n, 12)] { // a dozen are enough to see
				if r.Assigned(term, key*0x9e3779b97f4a7c15, 1) {
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
		who := set{}
		for i := range n {
			if rapid.Bool().Draw(t, "there") {
				who[i] = true
			}
		}
		rs := rolls(n)
		for i := range rs {
			rs[i].ObserveDigest(term, who)
		}
		key, k := rapid.Uint64().Draw(t, "key"), rapid.IntRange(1, 4).Draw(t, "k")
		others := 0
		for i := range n {
			if who[i] {
				others++
			}
		}
		if others > 1 {
			if got := takers(rs, 2*term, key, k, who); got != min(k, others) {
				t.Fatalf("%d of %v take a turn for %d", got, who, k)
			}
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		if !who[gone] || others < 3 {
			return
		}
		less := set{}
		for i := range who {
			less[i] = i != gone && who[i]
		}
		rs2 := rolls(n)
		for i := range rs2 {
			rs2[i].ObserveDigest(term, less)
		}
		for i := range n {
			if less[i] && rs[i].Assigned(2*term, key, 1) && !rs2[i].Assigned(2*term, key, 1) {
				t.Fatalf("%d lost a turn as %d went", i, gone)
			}
		}
	})
}

// Any three dispatchers that have heard any digests of the last two terms: a turn is taken by no more than there are different
// views, and where views are one by exactly one. Nobody may take one only while views differ, which ends with the next digest
// that all hear.
func TestExhaustiveThree(t *testing.T) {
	n := 0
	for views := range 8 * 8 * 8 {
		rs := rolls(3)
		distinct := map[int]bool{}
		for i := range rs {
			v := views >> (3 * i) & 7
			rs[i].ObserveDigest(term, of(pick(v, 0), pick(v, 1), pick(v, 2)))
			v |= 1 << i // one knows of itself
			if v == 1<<i {
				v = 7 // heard nobody: all
			}
			distinct[v] = true
		}
		for key := range uint64(40) {
			n++
			got := takers(rs, 2*term, key, 1, of(0, 1, 2))
			if got > len(distinct) || got == 0 && len(distinct) == 1 {
				t.Fatalf("views %o: %d take a turn, %d views", views, got, len(distinct))
			}
		}
	}
	t.Logf("%d cases", n)
}

func pick(v, i int) int {
	if v>>i&1 != 0 {
		return i
	}
	return -1
}

func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{5, 80, 300} {
		r := New(0, n, term)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				r.Assigned(int64(i), uint64(i), 5)
			}
		})
	}
}
