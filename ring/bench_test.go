package ring

import (
	"fmt"
	"testing"
)

// BenchmarkRing measures lookups, and changes of members each including the lookup after it.
func BenchmarkRing(b *testing.B) {
	for _, n := range []int{120, 600, 2400, 9600} {
		ids := randomIDs(n+1, 1)
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
		b.Run(fmt.Sprint("AddAll/", n), func(b *testing.B) { // initial fill and the first lookup
			b.ReportAllocs()
			for range b.N {
				fill(&Ring[uint32]{}, ids).Window(nil, 0, 0, 1)
			}
		})
		b.Run(fmt.Sprint("AddOne/", n), func(b *testing.B) { // includes the lookup after it, as does RemoveOne
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
