package ring

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWindowsDependOnlyOnMembers adds and removes 3 to 1,900 members in any order, with removals of
// contiguous ranges, restarts and lookups in between, and compares the windows with those of a
// model built from the remaining members only.
func TestWindowsDependOnlyOnMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(3, 60), rapid.IntRange(3, 1900)).Draw(t, "members")
		all := sequentialIDs(n)
		if rapid.Bool().Draw(t, "random ids") {
			all = randomIDs(n, uint64(n))
		}
		seed := rapid.Uint64().Draw(t, "seed")
		r, present := fill(&Ring[uint32]{}, shuffled(all, seed)), map[uint32]bool{}
		for _, id := range all {
			present[id] = true
		}
		change := func(id uint32, add bool) {
			if add {
				require.Equal(t, !present[id], r.Add(id, id))
			} else {
				require.Equal(t, present[id], r.Remove(id))
			}
			present[id] = add
		}
		events := rapid.IntRange(0, 12).Draw(t, "events")
		for i := range events {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // one member is added or removed
				change(all[rapid.IntRange(0, n-1).Draw(t, "member")], rapid.Bool().Draw(t, "add"))
			case 1, 2: // a contiguous range is removed or added
				from := rapid.IntRange(0, n-1).Draw(t, "from")
				to, add := rapid.IntRange(from, n).Draw(t, "to"), rapid.Bool().Draw(t, "add")
				for _, id := range all[from:to] {
					change(id, add)
				}
			case 3: // a restart: all are removed, then added in another order
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
			if present[id] {
				ids = append(ids, id)
			}
		}
		require.Equal(t, len(ids), r.Len())
		m := modelOf(ids, tokensPerMember)
		for range 5 {
			key, skip := rapid.Uint64().Draw(t, "key"), rapid.IntRange(0, 70).Draw(t, "skip")
			w := rapid.IntRange(0, 70).Draw(t, "n")
			checkWindow(t, r, ids, key, skip, w)
			requireSame(t, m.window(key, skip, w), r.Window(nil, key, skip, w))
		}
	})
}

// TestWindowsOfDifferentRingsOverlap compares two rings, the first with a members that the second
// lacks and the second with b members that the first lacks: windows of n share at least
// n - max(a, b) members, in the same order. It also checks that adding or removing one member
// changes a window by at most one member.
func TestWindowsOfDifferentRingsOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 1900).Draw(t, "members")
		all := randomIDs(n, uint64(n))
		withoutRange := func(label string) []uint32 { // the list without a contiguous range
			i := rapid.IntRange(0, n-1).Draw(t, label)
			j := min(n, i+rapid.OneOf(rapid.Just(1), rapid.IntRange(0, 40), rapid.IntRange(0, n)).Draw(t, "count"))
			return append(slices.Clone(all[:i]), all[j:]...)
		}
		left, right := withoutRange("left"), withoutRange("right")
		both := sharedCount(left, right)
		a, b := fill(&Ring[uint32]{}, left), fill(&Ring[uint32]{}, shuffled(right, uint64(n)))
		for range 5 {
			key, w := rapid.Uint64().Draw(t, "key"), rapid.IntRange(1, 64).Draw(t, "n")
			x, y := a.Window(nil, key, 0, w), b.Window(nil, key, 0, w)
			missing := max(len(left), len(right)) - both
			require.GreaterOrEqual(t, sharedCount(x, y), min(w, len(left), len(right))-missing)
			requireSame(t, without(x, without(x, y...)...), without(y, without(y, x...)...), "in the same order")
			if len(left) == 0 {
				continue
			}
			removed := left[rapid.IntRange(0, len(left)-1).Draw(t, "removed")]
			if rapid.Bool().Draw(t, "in the window") {
				removed = x[rapid.IntRange(0, len(x)-1).Draw(t, "removed")]
			}
			require.True(t, a.Remove(removed))
			after, remaining := a.Window(nil, key, 0, w), without(x, removed)
			require.Len(t, after, min(w, len(left)-1))
			requireSame(t, remaining, after[:min(len(remaining), len(after))], "the other members remain")
			require.True(t, a.Add(removed, removed))
			requireSame(t, x, a.Window(nil, key, 0, w), "the removed member is back")
		}
	})
}

// TestWindowsUnderEveryOrderOfSixMembers applies, to each of the 64 sets of six members, every
// sequence of up to four events (a member is added or removed, or a lookup) and compares the
// windows with those of the model.
func TestWindowsUnderEveryOrderOfSixMembers(t *testing.T) {
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
				t.Fatalf("from set %06b by events %v, key %d: got %v, want %v", first, order, key, out, want[set][key])
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
