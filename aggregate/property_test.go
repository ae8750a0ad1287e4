package aggregate

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestTotalsUnderEveryLossOfThreeDispatchers simulates every combination of lost reports and
// digests among three dispatchers over two terms. It checks that no total counts a report twice or
// is below the dispatcher's own value, and that all agree after two terms without loss.
func TestTotalsUnderEveryLossOfThreeDispatchers(t *testing.T) {
	rate := []float64{60, 30, 10}
	own := func(i int) []float64 { return []float64{rate[i]} }
	states := 0
	for lost := range 1 << 12 {
		for leaders := range 9 {
			states++
			fleet := newFleet(3, 1)
			now := 1000 * 1000 * ms
			now += term
			runTerm(fleet, now, 0, own, allReachable)
			for r := range 2 {
				now += term
				bits := lost >> (6 * r)
				leader := leaders % 3
				if r == 1 {
					leader = leaders / 3
				}
				runTerm(fleet, now, leader, own, func(from, to int) bool {
					return bits>>(from*2+(to-from+3)%3-1)&1 == 0
				})
				for i := range fleet {
					v := fleet[i].View(now, 0).Totals[0]
					ordered := v.Low <= v.Likely+1e-9 && v.Likely <= v.High+1e-9
					if !ordered || v.Likely > 100*1.01+1 || v.Likely < 90 || v.Low < rate[i]-0.1 {
						t.Fatalf("losses %012b, leaders %d, term %d, dispatcher %d: %+v", lost, leaders, r, i, v)
					}
				}
			}
			for leader := range 2 {
				now += term
				runTerm(fleet, now, leader, own, allReachable)
			}
			for i := range fleet {
				if v := fleet[i].View(now, 0); math.Abs(v.Totals[0].Likely-100) > 2 || v.MissingCount > 0 {
					t.Fatalf("losses %012b, leaders %d: dispatcher %d does not agree after two terms: %+v",
						lost, leaders, i, v)
				}
			}
		}
	}
	t.Logf("%d runs", states)
}

// TestBoundsUnderAnyPartition checks for any partitions and constant traffic that the true total is
// within the bounds of all dispatchers, and that all estimates are within 5 % of it two terms after
// the last partition.
func TestBoundsUnderAnyPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "dispatchers")
		fleet := newFleet(n, 2)
		rate := make([]float64, n)
		total := 0.0
		for i := range rate {
			rate[i] = float64(rapid.IntRange(1, 400).Draw(t, "rate"))
			total += rate[i]
		}
		own := func(i int) []float64 { return []float64{rate[i], 1} }
		now := 1000 * 1000 * ms
		step := func(leader int, reach func(int, int) bool) { now += term; runTerm(fleet, now, leader, own, reach) }
		step(0, allReachable)
		for range rapid.IntRange(1, 8).Draw(t, "terms") {
			side := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "sides")
			step(rapid.IntRange(0, n-1).Draw(t, "leader"), func(a, b int) bool { return side[a] == side[b] })
			for i := range fleet {
				v := fleet[i].View(now, 0)
				x := v.Totals[0]
				if x.Low > total*1.02+1 || x.High < total*0.85-1 || x.Likely > total*1.1+2 || x.Likely < total*0.85-2 {
					t.Fatalf("dispatcher %d of %d: total %+v, true total %v, %d covered, %d missing",
						i, n, x, total, v.CoveredCount, v.MissingCount)
				}
				if v.CoveredCount+v.MissingCount > n {
					t.Fatalf("%d covered and %d missing of %d", v.CoveredCount, v.MissingCount, n)
				}
			}
		}
		step(0, allReachable)
		step(n-1, allReachable)
		for i := range fleet {
			if x := fleet[i].View(now, 0).Totals[0].Likely; math.Abs(x-total) > 0.05*total+1 {
				t.Fatalf("dispatcher %d after two terms: total %v, true total %v", i, x, total)
			}
		}
	})
}
