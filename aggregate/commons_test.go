package aggregate

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	ms   = int64(1e6)
	term = 800 * ms
)

func fleet(n, figures int) (ts []*Aggregator) {
	for i := range n {
		ts = append(ts, New(1000*1000*ms, Settings{DispatcherIndex: i, Dispatchers: n, Values: figures, Term: term, Tick: term / 16, Forget: 64000 * ms}))
	}
	return ts
}

// round is a term: those that reach the hub report, and the digest comes to those that it reaches.
func round(ts []*Aggregator, now int64, hub int, own func(i int) []float64, reach func(from, to int) bool) {
	for i, t := range ts {
		t.SetLocal(own(i))
		if i != hub && reach(i, hub) {
			r := t.NextReport()
			t.ReportSent(r)
			ts[hub].HandleReport(now, i, r)
		}
	}
	d := ts[hub].NextDigest(now)
	ts[hub].HandleDigest(now, hub, d)
	for i, t := range ts {
		if i != hub && reach(hub, i) {
			t.HandleDigest(now, hub, d)
		}
	}
}

func all(int, int) bool { return true }

// Guards the sums in each case that the unheard may be in: cut off, dead with their calls at the
// others, and back.
func TestUnheardAreRemembered(t *testing.T) {
	ts := fleet(4, 1)
	rate := []float64{100, 10, 40, 50}
	own := func(i int) []float64 { return []float64{rate[i]} }
	now := 1000 * 1000 * ms
	step := func(hub int, reach func(int, int) bool) { now += term; round(ts, now, hub, own, reach) }
	likely := func(i int) float64 { return ts[i].View(now, 0).Totals[0].Likely }
	assert.True(t, ts[2].View(now, 0).Never)
	assert.Equal(t, Total{40, 80, 160}, func() Total { ts[2].SetLocal(own(2)); return ts[2].View(now, 0).Totals[0] }(), "alone since its start: between what it has itself and as much for each")
	step(0, all)
	for i := range ts {
		assert.InDelta(t, 200, likely(i), 1, i)
	}
	half := func(a, b int) bool { return a/2 == b/2 }
	for hub := range 12 {
		step(hub%4, half)
	}
	for i := range ts {
		v := ts[i].View(now, 0)
		assert.InDelta(t, 200, v.Totals[0].Likely, 12, "two halves: dispatcher %d", i)
		assert.Equal(t, []int{2, 2}, []int{v.Heard, v.Missing})
		assert.LessOrEqual(t, v.Totals[0].Low, 200.0)
		assert.GreaterOrEqual(t, v.Totals[0].High, 185.0)
	}
	step(1, all)
	step(2, all)
	for i := range ts {
		assert.InDelta(t, 200, likely(i), 4, "healed: dispatcher %d", i)
		assert.Equal(t, 0, ts[i].View(now, 0).Missing)
	}
	rate = []float64{0, 0, 90, 110} // 0 and 1 are dead, their clients at the others
	dead := func(a, b int) bool { return a > 1 && b > 1 }
	for hub := range 4 {
		step(2+hub%2, dead)
	}
	assert.InDelta(t, 200, likely(3), 12, "what was missing has come to us: it is not counted twice")
}

// Guards against a deaf dispatcher's guess: it goes by what it knew, whatever its part of the
// traffic.
func TestDeafRemember(t *testing.T) {
	ts := fleet(3, 1)
	now := 1000 * 1000 * ms
	rate := []float64{300, 30, 30}
	own := func(i int) []float64 { return []float64{rate[i]} }
	for hub := range 3 {
		now += term
		round(ts, now, hub, own, all)
	}
	for range 20 { // 0 hears nothing
		now += term
		round(ts, now, 1, own, func(_, to int) bool { return to != 0 })
	}
	ts[0].SetLocal(own(0))
	assert.InDelta(t, 360, ts[0].View(now, 0).Totals[0].Likely, 15, "not 900")
	assert.InDelta(t, 360, ts[1].View(now, 0).Totals[0].Likely, 5)
	assert.Greater(t, ts[0].View(now, 0).Age, 10*term)
}

// Guards the rows against what networks and restarts do: doubled, late, reordered, of an old
// incarnation, of a wrong clock.
func TestRowsAndDigestsOutOfOrder(t *testing.T) {
	ts := fleet(2, 1)
	now := 1000 * 1000 * ms
	row := func(inc, seq uint8, x float64) bool {
		return ts[0].HandleReport(now, 1, Report{Incarnation: inc, Seq: seq, Values: []float64{x}})
	}
	assert.True(t, row(5, 10, 1))
	assert.False(t, row(5, 10, 2), "doubled")
	assert.False(t, row(5, 9, 2), "late")
	assert.True(t, row(5, 11, 3))
	assert.True(t, row(6, 1, 4), "restarted")
	assert.False(t, row(5, 12, 5), "of the incarnation before")
	assert.False(t, ts[0].HandleReport(now, 1, Report{Incarnation: 6, Seq: 2, Values: []float64{1, 2}}), "of another size")
	assert.False(t, ts[0].HandleReport(now, 0, Report{Incarnation: 6, Seq: 2, Values: []float64{1}}), "our own")
	assert.Equal(t, 5, ts[0].Dropped)
	h := ts[0].reports[1]
	for ahead := range 256 { // found at 80 dispatchers: a hub hears one again after any number of reports
		ts[0].reports[1] = h
		assert.True(t, ts[0].HandleReport(now+60*term, 1, Report{Incarnation: 6, Seq: h.Seq + uint8(ahead), Values: []float64{4}}), ahead)
	}
	ts[0].reports[1] = h
	d := ts[0].NextDigest(now)
	require.True(t, ts[1].HandleDigest(now, 0, d))
	assert.True(t, ts[1].HandleDigest(now+ms, 0, d), "doubled: it changes nothing")
	assert.Equal(t, now, ts[1].digestAt)
	early := d
	early.Tick--
	assert.False(t, ts[1].HandleDigest(now, 0, early), "late")
	d.Tick += 2000
	assert.False(t, ts[1].HandleDigest(now, 0, d), "a clock minutes ahead")
	later := ts[0].NextDigest(now + 200*ms)
	assert.True(t, ts[1].HandleDigest(now, 0, later), "a clock 200 ms ahead")
	assert.InDelta(t, 4, ts[1].View(now, 0).Totals[0].High, 0.1)
}

// Every loss and order of three dispatchers' rows and digests over two rounds: no total counts a
// row twice, nor is it below one's own, and once all hear again for two rounds all agree.
func TestExhaustiveSmall(t *testing.T) {
	rate := []float64{60, 30, 10}
	own := func(i int) []float64 { return []float64{rate[i]} }
	states := 0
	for lost := range 1 << 12 {
		for hubs := range 9 {
			states++
			ts := fleet(3, 1)
			now := 1000 * 1000 * ms
			now += term
			round(ts, now, 0, own, all)
			for r := range 2 {
				now += term
				bits := lost >> (6 * r)
				hub := hubs % 3
				if r == 1 {
					hub = hubs / 3
				}
				round(ts, now, hub, own, func(from, to int) bool { return bits>>(from*2+(to-from+3)%3-1)&1 == 0 })
				for i := range ts {
					v := ts[i].View(now, 0).Totals[0]
					if v.Likely > 100*1.01+1 || v.Low < rate[i]-0.1 || v.Low > v.Likely+1e-9 || v.Likely > v.High+1e-9 || v.Likely < 90 {
						t.Fatalf("losses %012b, hubs %d, round %d, dispatcher %d: %+v", lost, hubs, r, i, v)
					}
				}
			}
			for hub := range 2 {
				now += term
				round(ts, now, hub, own, all)
			}
			for i := range ts {
				if v := ts[i].View(now, 0); math.Abs(v.Totals[0].Likely-100) > 2 || v.Missing > 0 {
					t.Fatalf("losses %012b, hubs %d: dispatcher %d does not agree after two rounds: %+v", lost, hubs, i, v)
				}
			}
		}
	}
	t.Logf("%d runs", states)
}

// For any cuts, kills with their calls moved, and steady traffic the true total is within the
// bounds, for all who hear a hub at all; after two rounds with all hearing, all agree within 5 %.
func TestBoundsUnderAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "n")
		ts := fleet(n, 2)
		rate := make([]float64, n)
		total := 0.0
		for i := range rate {
			rate[i] = float64(rapid.IntRange(1, 400).Draw(t, "rate"))
			total += rate[i]
		}
		own := func(i int) []float64 { return []float64{rate[i], 1} }
		now := 1000 * 1000 * ms
		step := func(hub int, reach func(int, int) bool) { now += term; round(ts, now, hub, own, reach) }
		step(0, all)
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			side := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "sides")
			step(rapid.IntRange(0, n-1).Draw(t, "hub"), func(a, b int) bool { return side[a] == side[b] })
			for i := range ts {
				v := ts[i].View(now, 0)
				x := v.Totals[0]
				if x.Low > total*1.02+1 || x.High < total*0.85-1 || x.Likely > total*1.1+2 || x.Likely < total*0.85-2 {
					t.Fatalf("dispatcher %d of %d: %+v of %v, %d heard, %d missing", i, n, x, total, v.Heard, v.Missing)
				}
				if v.Heard+v.Missing > n {
					t.Fatalf("%d heard and %d missing of %d", v.Heard, v.Missing, n)
				}
			}
		}
		step(0, all)
		step(n-1, all)
		for i := range ts {
			if x := ts[i].View(now, 0).Totals[0].Likely; math.Abs(x-total) > 0.05*total+1 {
				t.Fatalf("dispatcher %d after two rounds: %v of %v", i, x, total)
			}
		}
	})
}

// Figures that are as they were are not quoted, and count as they are.
func TestOnlyWhatChangedIsQuoted(t *testing.T) {
	ts := fleet(3, 2)
	now := 1000 * 1000 * ms
	rate := [][]float64{{100, 50}, {100, 50}, {100, 50}}
	own := func(i int) []float64 { return rate[i] }
	now += term
	round(ts, now, 0, own, all)
	rate[1] = []float64{103, 90}
	ts[1].SetLocal(rate[1])
	r := ts[1].NextReport()
	require.Len(t, r.LastCounted, 2)
	assert.True(t, math.IsNaN(r.LastCounted[0]))
	assert.Equal(t, 50.0, r.LastCounted[1])
	now += term
	round(ts, now, 0, own, func(from, _ int) bool { return from != 2 }) // 2 is not heard
	v := ts[0].View(now, 0)
	assert.InDelta(t, 303, v.Totals[0].Likely, 3.1, "what the change that is not quoted adds counts for the missing too")
	assert.InDelta(t, 150, v.Totals[1].Likely, 1, "what came to 1 may be what 2 had")
	assert.InDelta(t, 190, v.Totals[1].High, 1)
}

func TestMessageRoundTrip(t *testing.T) {
	cover := NewSet(300)
	for i := range 299 {
		cover.Add(i)
	}
	gone := NewSet(300)
	gone.Add(299)
	figs := func(k int) (out []float64) {
		for i := range k {
			out = append(out, float64(i)*12.5)
		}
		return out
	}
	for _, m := range []Message{
		{SyncRequest: true, Continued: true},
		{Calls: 7, Report: Report{Incarnation: 200, Seq: 255, Values: figs(5), LastCounted: []float64{0, math.NaN(), 25, math.NaN(), math.NaN()}}, Counts: []Count{{1, 5, true, false}, {1 << 15, 0, false, true}}, Holders: []Holder{{1 << 30, 9}}},
		{Calls: 1, Report: Report{Values: figs(15), Fresh: true}, Marks: []Mark{{7, 15, 0, 255}, {1 << 15, 0, 9, 8}}},
		{FromLeader: true, Digest: Digest{Truncated: true, Tick: 65535, Sums: figs(15), MissingSums: figs(15), MissingMoved: figs(15), Covered: cover, Missing: gone}},
	} {
		texts := m.Encode(300)
		require.Len(t, texts, 1)
		out, ok := Decode(texts[0], 300)
		require.True(t, ok)
		assert.Equal(t, texts, out.Encode(300))
		if !m.FromLeader {
			assert.Equal(t, fmt.Sprint(m), fmt.Sprint(out))
		} else {
			assert.Equal(t, m.Digest, out.Digest)
		}
		for cut := range len(texts[0]) {
			if x, ok := Decode(texts[0][:cut], 300); ok && !x.Continued && len(x.Counts)+len(x.Holders) == len(m.Counts)+len(m.Holders) && cut < len(texts[0])-1 {
				t.Errorf("cut at %d of %d, it was read", cut, len(texts[0]))
			}
		}
	}
	for i := range 20 { // found by reading: the longest sums and a dozen marks are more than one text holds
		full := Message{FromLeader: true, Digest: Digest{Sums: figs(15), MissingSums: figs(15), MissingMoved: figs(15), Covered: cover, Missing: gone}, Counts: []Count{{Worker: 1, N: 1}}}
		for range i {
			full.Marks = append(full.Marks, Mark{Worker: 7, Bad: 3})
		}
		for _, x := range append(full.Encode(300), full.Truncate(300, 256).Encode(300)...) {
			assert.LessOrEqual(t, len(x), 256)
			_, ok := Decode(x, 300)
			assert.True(t, ok)
		}
		assert.NotPanics(t, func() { full.Encode(5000) })
	}
	big := Message{FromLeader: true, Digest: Digest{Sums: figs(7), MissingSums: figs(7), MissingMoved: figs(7), Covered: cover, Missing: gone}}
	for i := range 120 {
		big.Counts = append(big.Counts, Count{Worker: uint16(i), N: 3})
	}
	counts := 0
	for _, x := range big.Encode(300) {
		assert.LessOrEqual(t, len(x), 256)
		m, ok := Decode(x, 300)
		require.True(t, ok)
		counts += len(m.Counts)
	}
	assert.Equal(t, 120, counts)
	big.Counts[77] = Count{Worker: 77, Silent: true}
	for _, chars := range []int{220, 253, 10000} {
		short := big.Truncate(300, chars)
		assert.LessOrEqual(t, Chars(short.Encode(300)), chars)
		if chars < 10000 {
			assert.Equal(t, big.Counts[77:78], short.Counts, "what binds")
			m, ok := Decode(short.Encode(300)[0], 300)
			assert.True(t, ok && m.Digest.Truncated)
		}
	}
	assert.Equal(t, big, big.Truncate(300, 120), "not even the sums")
	for _, x := range []float64{0, 0.3, 12.5, 819, 7200, 1e6} {
		assert.InDelta(t, x, decodeValue(encodeValue(x)), 0.01+x/4000)
	}
	assert.Zero(t, encodeValue(math.NaN()))
}

// Any text ends in a message or in nothing.
func FuzzRead(f *testing.F) {
	for _, m := range []Message{{Report: Report{Values: []float64{1, 2}}}, {FromLeader: true, Digest: Digest{Sums: []float64{1}, Covered: NewSet(9), Missing: NewSet(9)}}} {
		f.Add(m.Encode(9)[0], 9)
	}
	f.Add("BAAAAA", 3)
	f.Fuzz(func(t *testing.T, text string, n int) {
		n = max(1, n&1023)
		m, ok := Decode(text, n)
		if !ok {
			return
		}
		x := New(5e9, Settings{Dispatchers: n, Values: 2, Term: term, Tick: term / 16, Forget: 64 * term})
		x.HandleReport(5e9, 1, m.Report)
		x.HandleDigest(5e9, 1, m.Digest)
		for _, total := range x.View(6e9, 0).Totals {
			if math.IsNaN(total.Likely) || total.Low < 0 {
				t.Fatal(total)
			}
		}
	})
}

// What one report, digest and view cost.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{5, 80, 300} {
		ts := fleet(n, 7)
		now := 1000 * 1000 * ms
		own := func(i int) []float64 { return []float64{float64(i), 1, 2, 3, 4, 5, 6} }
		round(ts, now, 0, own, all)
		b.Run(fmt.Sprintf("report_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r := ts[1].NextReport()
				ts[1].ReportSent(r)
				ts[0].HandleReport(now, 1, r)
			}
		})
		b.Run(fmt.Sprintf("digest_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				ts[0].NextDigest(now)
			}
		})
		b.Run(fmt.Sprintf("view_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				ts[1].View(now, 0)
			}
		})
	}
}

// The length of a message, by which it is paid for before it is written, is that of its texts.
func TestLengthIsThatOfTheTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		siblings := rapid.SampledFrom([]int{3, 80, 300, 1_000, 1_900, 6_000}).Draw(t, "siblings")
		figures := make([]float64, rapid.IntRange(0, maxValues).Draw(t, "figures"))
		m := Message{FromLeader: rapid.Bool().Draw(t, "hub"), Continued: rapid.IntRange(0, 3).Draw(t, "goes on") == 0, Report: Report{Values: figures},
			Marks: make([]Mark, rapid.IntRange(0, 20).Draw(t, "marks")), Counts: make([]Count, rapid.SampledFrom([]int{0, 1, 61, 62, 63, 700}).Draw(t, "counts")),
			Holders: make([]Holder, rapid.SampledFrom([]int{0, 1, 30, 31, 32, 200}).Draw(t, "pairs"))}
		m.Digest = Digest{Sums: figures, MissingSums: figures, MissingMoved: figures, Covered: NewSet(siblings), Missing: NewSet(siblings)}
		if rapid.Bool().Draw(t, "quoted") {
			m.Report.LastCounted = figures
		}
		for i := range rapid.SampledFrom([]int{0, siblings - 1, siblings}).Draw(t, "covered") {
			m.Digest.Covered.Add(i)
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "missing") {
			m.Digest.Missing.Add(i)
		}
		assert.Equal(t, Chars(m.Encode(siblings)), m.EncodedLen(siblings))
	})
}

func TestAllOfHasAllAndNoMore(t *testing.T) {
	for _, n := range []int{0, 1, 7, 8, 9, 300, 1_900} {
		want := NewSet(n)
		for i := range n {
			want.Add(i)
		}
		assert.Equal(t, want, fullSet(n), "of %d", n)
	}
}
