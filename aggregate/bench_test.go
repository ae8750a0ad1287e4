package aggregate

import (
	"fmt"
	"testing"
)

// BenchmarkAggregator measures sending and handling one report, building one digest, and one view.
func BenchmarkAggregator(b *testing.B) {
	for _, n := range []int{5, 80, 300} {
		fleet := newFleet(n, 7)
		now := 1000 * 1000 * ms
		own := func(i int) []float64 { return []float64{float64(i), 1, 2, 3, 4, 5, 6} }
		runTerm(fleet, now, 0, own, allReachable)
		b.Run(fmt.Sprintf("report_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r := fleet[1].NextReport()
				fleet[1].ReportSent(r)
				fleet[0].HandleReport(now, 1, r)
			}
		})
		b.Run(fmt.Sprintf("digest_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				fleet[0].NextDigest(now)
			}
		})
		b.Run(fmt.Sprintf("view_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				fleet[1].View(now, 0)
			}
		})
	}
}

// BenchmarkDigest measures the digest of one term in a fleet with seven tenants and 120 workers:
// building it from all reports, encoding, decoding and the view, with no dispatcher missing and
// with one. longest/text and text/digest are the lengths in bytes of the longest text and of all
// texts; the channel carries 256 bytes per text.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{300, 1_000, 1_900} {
		for missing := range 2 {
			name := fmt.Sprintf("%d_dispatchers_%d_missing", n, missing)
			b.Run(name, func(b *testing.B) { benchDigest(b, n, missing) })
		}
	}
}

func benchDigest(b *testing.B, n, missing int) {
	fleet := newFleet(n, 9)
	now := 1000 * 1000 * ms
	own := func(i int) []float64 { return []float64{float64(i), 1, 2, 3, 4, 5, 6, 200, 4} }
	leader, reader := fleet[0], fleet[1]
	// The first term covers all dispatchers. In the second, which the benchmark measures, the last
	// ones are missing.
	runTerm(fleet, now, 0, own, allReachable)
	now += term
	runTerm(fleet, now, 0, own, func(from, to int) bool { return from < n-missing && to < n-missing })
	digest := leader.NextDigest(now)
	if digest.Missing.Len() != missing || digest.Covered.Len() != n-missing {
		b.Fatalf("the digest has %d dispatchers covered and %d missing", digest.Covered.Len(), digest.Missing.Len())
	}
	m := Message{FromLeader: true, Digest: digest}
	for i := range 120 {
		m.Counts = append(m.Counts, Count{Worker: uint16(i), InFlight: 3, Responded: true})
	}
	texts := m.Encode(n)
	longest := 0
	for _, x := range texts {
		longest = max(longest, len(x))
	}
	step := func(name string, do func(b *testing.B)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				do(b)
			}
			b.ReportMetric(float64(longest), "longest/text")
			b.ReportMetric(float64(TotalLen(texts)), "text/digest")
		})
	}
	step("build", func(*testing.B) { leader.NextDigest(now) })
	step("encode", func(*testing.B) { m.Encode(n) })
	step("decode", func(b *testing.B) {
		for _, x := range texts {
			if _, ok := Decode(x, n); !ok {
				b.Fatal("a text could not be decoded")
			}
		}
	})
	step("view", func(*testing.B) { reader.View(now, 7) })
}
