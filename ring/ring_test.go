package ring

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is the ring written anew without any of its means: all tokens sorted at each change, a map for each window.
type model struct {
	at []uint64
	id []uint32
}

func modelOf(ids []uint32, tokens int) (m model) {
	type point struct {
		at uint64
		id uint32
	}
	var ps []point
	for _, id := range ids {
		for i := range tokens {
			ps = append(ps, point{hashPosition(uint64(id)*uint64(tokens) + uint64(i)), id})
		}
	}
	slices.SortFunc(ps, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	for _, p := range ps {
		m.at, m.id = append(m.at, p.at), append(m.id, p.id)
	}
	return m
}

func (m model) window(key uint64, skip, n int) []uint32 {
	i := 0
	for i < len(m.at) && m.at[i] < hashPosition(^key) {
		i++
	}
	return m.from(i, skip, n)
}

func (m model) from(i, skip, n int) (out []uint32) {
	met := map[uint32]bool{}
	for j := 0; j < len(m.id) && len(out) < n; j++ {
		if id := m.id[(i+j)%len(m.id)]; !met[id] {
			met[id] = true
			if len(met) > skip {
				out = append(out, id)
			}
		}
	}
	return out
}

// shares is for each of n members, all told, the part of all keys in whose window it is, over the mean: the lowest and the
// highest of these, exactly, by the arcs between points.
func (m model) shares(members, n int) (lowest, highest float64) {
	index, met, part := map[uint32]int{}, make([]int, members), make([]float64, members)
	who := make([]int, len(m.id))
	for i, id := range m.id {
		if _, ok := index[id]; !ok {
			index[id] = len(index)
		}
		who[i] = index[id]
	}
	for i := range m.at {
		arc := m.at[i] - m.at[(i+len(m.at)-1)%len(m.at)] // unsigned: right round the end too
		for j, left := i, n; left > 0; j = (j + 1) % len(who) {
			if w := who[j]; met[w] != i+1 {
				met[w] = i + 1
				part[w] += float64(arc) / (1 << 32) / (1 << 32)
				left--
			}
		}
	}
	mean := float64(n) / float64(members)
	return slices.Min(part) / mean, slices.Max(part) / mean
}

func fill(r *Ring[uint32], ids []uint32) *Ring[uint32] {
	for _, id := range ids {
		r.Add(id, id)
	}
	return r
}

func shuffled(ids []uint32, seed uint64) []uint32 {
	ids = slices.Clone(ids)
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// numbered are ids 0 to n-1, strewn are n distinct ones anywhere.
func numbered(n int) (ids []uint32) {
	for i := range n {
		ids = append(ids, uint32(i))
	}
	return ids
}

func strewn(n int, seed uint64) (ids []uint32) {
	rng, met := rand.New(rand.NewPCG(seed, 2)), map[uint32]bool{}
	for len(ids) < n {
		if id := rng.Uint32(); !met[id] {
			met[id], ids = true, append(ids, id)
		}
	}
	return ids
}

// same fails where two windows differ; an empty one may be nil.
func same(t require.TestingT, want, got []uint32, why ...any) {
	if !slices.Equal(want, got) {
		require.Equal(t, want, got, why...)
	}
}

// without is a list without some members.
func without(ids []uint32, gone ...uint32) []uint32 {
	in := map[uint32]bool{}
	for _, id := range gone {
		in[id] = true
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id uint32) bool { return in[id] })
}

func shared(a, b []uint32) (n int) {
	in := map[uint32]bool{}
	for _, x := range a {
		in[x] = true
	}
	for _, x := range b {
		if in[x] {
			n++
		}
	}
	return n
}

// The zero value works, values are replaced in place, bounds outside of the ring are none.
func TestRing(t *testing.T) {
	var r Ring[string]
	assert.Empty(t, r.Window(nil, 1, 0, 5))
	assert.False(t, r.Remove(7))
	assert.True(t, r.Add(7, "a"))
	assert.True(t, r.Add(math.MaxUint32, "b"))
	assert.Equal(t, 2, r.Len())
	assert.ElementsMatch(t, []string{"a", "b"}, r.Window(nil, 1, 0, 5))
	assert.False(t, r.Add(7, "c"))
	assert.ElementsMatch(t, []string{"b", "c"}, r.Window(nil, 1, 0, math.MaxInt))
	assert.Equal(t, r.Window(nil, 1, 0, 1), r.Window(nil, 1, -3, 1))
	for _, bounds := range [][2]int{{0, 0}, {0, -1}, {2, 1}, {math.MaxInt, math.MaxInt}, {0, math.MinInt}, {1, math.MinInt}} {
		assert.Empty(t, r.Window(nil, 1, bounds[0], bounds[1]), bounds)
	}
	assert.Len(t, r.Window(nil, 1, -3, math.MaxInt), 2)
	for i := range uint64(tokensPerMember) { // a key at the point of a token
		assert.Equal(t, []string{"c"}, r.Window(nil, ^(7*tokensPerMember+i), 0, 1))
	}
	out := r.Window([]string{"kept"}, 1, 0, 2)
	assert.Equal(t, "kept", out[0])
	assert.Len(t, out, 3)
	assert.True(t, r.Remove(7))
	assert.False(t, r.Remove(7))
	assert.Equal(t, []string{"b"}, r.Window(nil, 1, 0, 5))
	assert.True(t, r.Add(7, "d"), "after it was removed it is new")
	assert.ElementsMatch(t, []string{"b", "d"}, r.Window(nil, 1, 0, 5))
	assert.Equal(t, 2, r.Len())
}

// What windows hold: n distinct members, all where there are fewer; with skip, the continuation.
func checkWindow(t require.TestingT, r *Ring[uint32], ids []uint32, key uint64, skip, n int) {
	w := r.Window(nil, key, 0, n)
	require.Len(t, w, min(n, len(ids)))
	require.Equal(t, len(w), shared(ids, w), "a member that is none")
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(w))), len(w), "a member twice")
	whole := r.Window(nil, key, 0, skip+n)
	same(t, w, whole[:len(w)])
	same(t, whole[min(skip, len(whole)):], r.Window(nil, key, skip, n))
}

// Any members of 3 to 1,900, come to in any order with losses, a contiguous set gone, restarts and look-ups between: the windows
// are those of the model, which knows the members alone.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(3, 60), rapid.IntRange(3, 1900)).Draw(t, "members")
		all := numbered(n)
		if rapid.Bool().Draw(t, "strewn") {
			all = strewn(n, uint64(n))
		}
		seed := rapid.Uint64().Draw(t, "seed")
		r, there := fill(&Ring[uint32]{}, shuffled(all, seed)), map[uint32]bool{}
		for _, id := range all {
			there[id] = true
		}
		change := func(id uint32, add bool) {
			if add {
				require.Equal(t, !there[id], r.Add(id, id))
			} else {
				require.Equal(t, there[id], r.Remove(id))
			}
			there[id] = add
		}
		events := rapid.IntRange(0, 12).Draw(t, "events")
		for i := range events {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // one comes or goes
				change(all[rapid.IntRange(0, n-1).Draw(t, "who")], rapid.Bool().Draw(t, "comes"))
			case 1, 2: // a contiguous set goes, or comes
				from := rapid.IntRange(0, n-1).Draw(t, "from")
				to, comes := rapid.IntRange(from, n).Draw(t, "to"), rapid.Bool().Draw(t, "comes")
				for _, id := range all[from:to] {
					change(id, comes)
				}
			case 3: // a restart: all go, all come in another order
				for _, id := range shuffled(all, seed+uint64(i)) {
					change(id, false)
				}
				for _, id := range shuffled(all, seed-uint64(i)) {
					change(id, true)
				}
			default:
				r.Window(nil, seed, 0, 1)
			}
		}
		var ids []uint32
		for _, id := range all {
			if there[id] {
				ids = append(ids, id)
			}
		}
		require.Equal(t, len(ids), r.Len())
		m := modelOf(ids, tokensPerMember)
		for range 5 {
			key, skip := rapid.Uint64().Draw(t, "key"), rapid.IntRange(0, 70).Draw(t, "skip")
			w := rapid.IntRange(0, 70).Draw(t, "n")
			checkWindow(t, r, ids, key, skip, w)
			same(t, m.window(key, skip, w), r.Window(nil, key, skip, w))
		}
	})
}

// Rings of which one has a members and the other b that its fellow lacks: windows of n share n - max(a, b), in the same order.
// With one member more or less a window changes by that one at most.
func TestUnequalListsShareWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 1900).Draw(t, "members")
		all := strewn(n, uint64(n))
		from := func(what string) []uint32 { // the list without some contiguous set
			i := rapid.IntRange(0, n-1).Draw(t, what)
			j := min(n, i+rapid.OneOf(rapid.Just(1), rapid.IntRange(0, 40), rapid.IntRange(0, n)).Draw(t, "many"))
			return append(slices.Clone(all[:i]), all[j:]...)
		}
		left, right := from("left"), from("right")
		both := shared(left, right)
		a, b := fill(&Ring[uint32]{}, left), fill(&Ring[uint32]{}, shuffled(right, uint64(n)))
		for range 5 {
			key, w := rapid.Uint64().Draw(t, "key"), rapid.IntRange(1, 64).Draw(t, "n")
			x, y := a.Window(nil, key, 0, w), b.Window(nil, key, 0, w)
			lack := max(len(left), len(right)) - both
			require.GreaterOrEqual(t, shared(x, y), min(w, len(left), len(right))-lack)
			same(t, without(x, without(x, y...)...), without(y, without(y, x...)...), "in the same order")
			if len(left) == 0 {
				continue
			}
			gone := left[rapid.IntRange(0, len(left)-1).Draw(t, "gone")]
			if rapid.Bool().Draw(t, "of the window") {
				gone = x[rapid.IntRange(0, len(x)-1).Draw(t, "gone")]
			}
			require.True(t, a.Remove(gone))
			less, stay := a.Window(nil, key, 0, w), without(x, gone)
			require.Len(t, less, min(w, len(left)-1))
			same(t, stay, less[:min(len(stay), len(less))], "those before stay")
			require.True(t, a.Add(gone, gone))
			same(t, x, a.Window(nil, key, 0, w), "it is back")
		}
	})
}

// One size of 9,600: a rack's, a zone's and all members gone and back in another order, the windows are those of the model. Any
// window has its members once, and a look-up allocates nothing.
func TestSizeOfAFleet(t *testing.T) {
	all := numbered(9600)
	r := fill(&Ring[uint32]{}, shuffled(all, 1))
	for i, part := range [][]uint32{all[200:240], all[4000:4960], all, nil} {
		rest := without(all, part...)
		for _, id := range shuffled(part, uint64(i)) {
			require.True(t, r.Remove(id))
		}
		m := modelOf(rest, tokensPerMember)
		for key := range uint64(50) {
			same(t, m.window(key, 0, 32), r.Window(nil, key, 0, 32))
		}
		fill(r, shuffled(part, uint64(i)+9))
	}
	m, rng, out := modelOf(all, tokensPerMember), rand.New(rand.NewPCG(3, 3)), make([]uint32, 0, 64)
	for range 200 {
		key, skip, n := rng.Uint64(), rng.IntN(64), rng.IntN(64)
		checkWindow(t, r, all, key, skip, n)
		same(t, m.window(key, skip, n), r.Window(nil, key, skip, n))
	}
	same(t, m.window(5, 9590, 100), r.Window(nil, 5, 9590, 100))
	assert.Zero(t, testing.AllocsPerRun(100, func() { out = r.Window(out[:0], rng.Uint64(), 8, 32) }))
}

// Members that come and go without a look-up don't pile up.
func TestChurnKeepsNothing(t *testing.T) {
	r := fill(&Ring[uint32]{}, numbered(100))
	for i := range uint32(100_000) {
		r.Add(100+i, i)
		r.Remove(100 + i)
		require.LessOrEqual(t, len(r.members), 300)
		require.LessOrEqual(t, len(r.points)+len(r.pending), 300*tokensPerMember)
	}
	same(t, modelOf(numbered(100), tokensPerMember).window(1, 0, 100), r.Window(nil, 1, 0, 100))
}

// Each of the 64 sets of six members, from it each order of up to four events (one comes or goes, each tried twice; a look-up):
// windows are those of the set that is left.
func TestExhaustiveSix(t *testing.T) {
	const members, events, keys = 6, 4, 4
	var want [1 << members][keys][]uint32
	for set := range want {
		var ids []uint32
		for id := range uint32(members) {
			if set>>id&1 != 0 {
				ids = append(ids, id)
			}
		}
		for key := range want[set] {
			want[set][key] = modelOf(ids, tokensPerMember).window(uint64(key), key%3, 3)
		}
	}
	cases, out := 0, make([]uint32, 0, members)
	run := func(first int, order []int) {
		cases++
		r, set := Ring[uint32]{}, first
		for id := range uint32(members) {
			if first>>id&1 != 0 {
				r.Add(id, id)
			}
		}
		if cases&1 != 0 {
			r.Window(out[:0], 0, 0, 1)
		}
		for _, e := range order {
			id := uint32(e)
			switch {
			case e == members:
				r.Window(out[:0], 0, 0, 1)
				continue
			case set>>e&1 == 0:
				if !r.Add(id, 99) || r.Add(id, id) {
					t.Fatal(first, order)
				}
			default:
				if !r.Remove(id) || r.Remove(id) {
					t.Fatal(first, order)
				}
			}
			set ^= 1 << e
		}
		for key := range want[set] {
			if out = r.Window(out[:0], uint64(key), key%3, 3); !slices.Equal(want[set][key], out) {
				t.Fatalf("from set %06b by %v, key %d: %v, not %v", first, order, key, out, want[set][key])
			}
		}
	}
	var orders func(order []int)
	orders = func(order []int) {
		for first := range 1 << members {
			run(first, order)
		}
		if len(order) < events {
			for e := range members + 1 {
				orders(append(order, e))
			}
		}
	}
	orders(nil)
	t.Logf("%d cases", cases)
}

// shareBounds are the least and the largest part of windows of n that any member may have, over the mean: wider than measured.
func shareBounds(n int) (least, most float64) {
	if n <= 16 {
		return 0.45, 1.7
	}
	return 0.55, 1.6
}

// The shares that the constant tokens was chosen by, and the bounds of those it gives.
func TestShares(t *testing.T) {
	for _, perMember := range []int{1, 2, 4, 8} {
		for _, n := range []int{16, 32} {
			least, most := shareBounds(n)
			for seed := range uint64(4) {
				ids := numbered(9600)
				if seed > 0 {
					ids = strewn(9600, seed)
				}
				low, high := modelOf(ids, perMember).shares(len(ids), n)
				t.Logf("%d tokens, windows of %d, list %d: a member's share %.2f to %.2f of the mean", perMember, n, seed, low, high)
				if perMember == tokensPerMember {
					assert.Greater(t, low, least)
					assert.Less(t, high, most)
				}
			}
		}
	}
}

// Keys that are small numbers, as members are, spread as evenly as any: each member's count in the windows of 48,000 of them is
// the bound of TestShares at the most, and five deviations of chance.
func TestSmallKeysSpread(t *testing.T) {
	for _, ids := range [][]uint32{numbered(9600), strewn(9600, 1)} {
		r, count, out := fill(&Ring[uint32]{}, ids), map[uint32]int{}, []uint32(nil)
		for key := range uint64(48_000) {
			out = r.Window(out[:0], key, 0, 32)
			for _, id := range out {
				count[id]++
			}
		}
		largest, mean := 0, 48_000*32/9600.0
		_, most := shareBounds(32)
		for _, n := range count {
			largest = max(largest, n)
		}
		t.Logf("%d members in some window; mean %v, most %d", len(count), mean, largest)
		assert.Len(t, count, 9600)
		assert.Less(t, float64(largest), most*mean+5*math.Sqrt(most*mean))
	}
}

func BenchmarkRing(b *testing.B) {
	for _, n := range []int{120, 600, 2400, 9600} {
		ids := strewn(n+1, 1)
		one, ids := ids[n], ids[:n]
		b.Run(fmt.Sprint("Window/", n), func(b *testing.B) {
			b.ReportAllocs()
			r, out := fill(&Ring[uint32]{}, ids), make([]uint32, 0, 32)
			r.Window(out, 0, 0, 1)
			b.ResetTimer()
			for i := range b.N {
				out = r.Window(out[:0], uint64(i), 0, 32)
			}
		})
		b.Run(fmt.Sprint("AddAll/", n), func(b *testing.B) { // a first list, to its first look-up
			b.ReportAllocs()
			for range b.N {
				fill(&Ring[uint32]{}, ids).Window(nil, 0, 0, 1)
			}
		})
		b.Run(fmt.Sprint("AddOne/", n), func(b *testing.B) { // with the look-up after it, and the same for Remove
			b.ReportAllocs()
			r, out := fill(&Ring[uint32]{}, ids), make([]uint32, 0, 1)
			for range b.N {
				b.StopTimer()
				r.Remove(one)
				r.Window(out, 0, 0, 1)
				b.StartTimer()
				r.Add(one, one)
				r.Window(out, 0, 0, 1)
			}
		})
		b.Run(fmt.Sprint("RemoveOne/", n), func(b *testing.B) {
			b.ReportAllocs()
			r, out := fill(&Ring[uint32]{}, ids), make([]uint32, 0, 1)
			for range b.N {
				b.StopTimer()
				r.Add(one, one)
				r.Window(out, 0, 0, 1)
				b.StartTimer()
				r.Remove(one)
				r.Window(out, 0, 0, 1)
			}
		})
	}
}
