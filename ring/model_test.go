package ring

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"
)

// model is a simple reference implementation of Ring: it sorts all tokens for each change, and
// finds the distinct members of a window with a map.
type model struct {
	at []uint64
	id []uint32
}

// modelOf returns the model of a ring with the given number of tokens per member.
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

// window is the reference implementation of Ring.Window.
func (m model) window(key uint64, skip, n int) []uint32 {
	i := 0
	for i < len(m.at) && m.at[i] < hashPosition(^key) {
		i++
	}
	return m.windowFrom(i, skip, n)
}

// windowFrom returns the window that starts at point i.
func (m model) windowFrom(i, skip, n int) (out []uint32) {
	seen := map[uint32]bool{}
	for j := 0; j < len(m.id) && len(out) < n; j++ {
		if id := m.id[(i+j)%len(m.id)]; !seen[id] {
			seen[id] = true
			if len(seen) > skip {
				out = append(out, id)
			}
		}
	}
	return out
}

// shares returns the lowest and the highest share of any member. The share is the fraction of all
// keys whose window of n contains the member, relative to the mean of all members. It is computed
// exactly, from the arcs between points.
func (m model) shares(members, n int) (lowest, highest float64) {
	index, seen, part := map[uint32]int{}, make([]int, members), make([]float64, members)
	memberAt := make([]int, len(m.id))
	for i, id := range m.id {
		if _, ok := index[id]; !ok {
			index[id] = len(index)
		}
		memberAt[i] = index[id]
	}
	for i := range m.at {
		arc := m.at[i] - m.at[(i+len(m.at)-1)%len(m.at)] // unsigned, so correct across zero as well
		for j, left := i, n; left > 0; j = (j + 1) % len(memberAt) {
			if w := memberAt[j]; seen[w] != i+1 {
				seen[w] = i + 1
				part[w] += float64(arc) / (1 << 32) / (1 << 32)
				left--
			}
		}
	}
	mean := float64(n) / float64(members)
	return slices.Min(part) / mean, slices.Max(part) / mean
}

// fill adds members with their ids as values and returns the ring.
func fill(r *Ring[uint32], ids []uint32) *Ring[uint32] {
	for _, id := range ids {
		r.Add(id, id)
	}
	return r
}

// shuffled returns a copy of a list, shuffled by seed.
func shuffled(ids []uint32, seed uint64) []uint32 {
	ids = slices.Clone(ids)
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// sequentialIDs returns the ids 0 to n-1.
func sequentialIDs(n int) (ids []uint32) {
	for i := range n {
		ids = append(ids, uint32(i))
	}
	return ids
}

// randomIDs returns n distinct ids generated from seed.
func randomIDs(n int, seed uint64) (ids []uint32) {
	rng, seen := rand.New(rand.NewPCG(seed, 2)), map[uint32]bool{}
	for len(ids) < n {
		if id := rng.Uint32(); !seen[id] {
			seen[id], ids = true, append(ids, id)
		}
	}
	return ids
}

// requireSame fails if two windows differ; nil and empty windows are equal.
func requireSame(t require.TestingT, want, got []uint32, why ...any) {
	if !slices.Equal(want, got) {
		require.Equal(t, want, got, why...)
	}
}

// without returns a copy of a list without the removed members.
func without(ids []uint32, removed ...uint32) []uint32 {
	in := map[uint32]bool{}
	for _, id := range removed {
		in[id] = true
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id uint32) bool { return in[id] })
}

// sharedCount returns the number of members that two windows have in common.
func sharedCount(a, b []uint32) (n int) {
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

// checkWindow fails if a window does not hold n distinct members (all if there are fewer), or if
// the window with skip is not the continuation of the one without.
func checkWindow(t require.TestingT, r *Ring[uint32], ids []uint32, key uint64, skip, n int) {
	w := r.Window(nil, key, 0, n)
	require.Len(t, w, min(n, len(ids)))
	require.Equal(t, len(w), sharedCount(ids, w), "all are members of the ring")
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(w))), len(w), "no duplicates")
	extended := r.Window(nil, key, 0, skip+n)
	requireSame(t, w, extended[:len(w)])
	requireSame(t, extended[min(skip, len(extended)):], r.Window(nil, key, skip, n))
}
