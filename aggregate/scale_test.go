package aggregate

import (
	"fmt"
	"testing"
)

// This file owns what a digest costs at the size planned. It must never test a behaviour.

// BenchmarkDigest is a term's digest of a fleet with seven tenants' figures and 120 executors
// counted: made by the collector from all rows, its texts written, all of them read, and the sums
// viewed; with no dispatcher missing and with one. longest/text and text/digest are the bytes of
// the longest text and of all; the channel carries 256 bytes a text.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{300, 1_000, 1_900} {
		for missing := range 2 {
			b.Run(fmt.Sprintf("%d_siblings_%d_missing", n, missing), func(b *testing.B) { benchDigest(b, n, missing) })
		}
	}
}

func benchDigest(b *testing.B, n, missing int) {
	ts := fleet(n, 9)
	now := 1000 * 1000 * ms
	own := func(i int) []float64 { return []float64{float64(i), 1, 2, 3, 4, 5, 6, 200, 4} }
	hub, reader := ts[0], ts[1]
	// The first term has all; in the second, which stands while the benchmark runs, the last ones
	// are not heard.
	round(ts, now, 0, own, all)
	now += term
	round(ts, now, 0, own, func(from, to int) bool { return from < n-missing && to < n-missing })
	sum := hub.NextDigest(now)
	if sum.Missing.Len() != missing || sum.Covered.Len() != n-missing {
		b.Fatalf("the digest covers %d and misses %d", sum.Covered.Len(), sum.Missing.Len())
	}
	m := Message{FromLeader: true, Digest: sum}
	for i := range 120 {
		m.Counts = append(m.Counts, Count{Worker: uint16(i), N: 3, Heard: true})
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
			b.ReportMetric(float64(Chars(texts)), "text/digest")
		})
	}
	step("made", func(*testing.B) { hub.NextDigest(now) })
	step("written", func(*testing.B) { m.Encode(n) })
	step("read", func(b *testing.B) {
		for _, x := range texts {
			if _, ok := Decode(x, n); !ok {
				b.Fatal("a text cannot be read")
			}
		}
	})
	step("viewed", func(*testing.B) { reader.View(now, 7) })
}
