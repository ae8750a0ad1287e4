package outlier

import (
	"fmt"
	"testing"
)

// BenchmarkDetector measures recording the result of one call, computing the marks of all workers,
// applying the evidence of one digest, and merging marks.
func BenchmarkDetector(b *testing.B) {
	for _, n := range []int{10, 60, 120} {
		d, workers := New(objective, true), make([]Stats, n)
		digest := make([]GossipEvidence, 0, 12)
		for i := range min(n, 12) {
			digest = append(digest, GossipEvidence{&workers[i], 1, Evidence{Served: uint8(i), Failed: 5}})
		}
		b.Run(fmt.Sprintf("end_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				stats := &workers[i%n]
				d.RecordResponse(int64(i), stats, i%2)
				if i%100 == 0 {
					d.RecordFailure(int64(i), stats, WeightFailure)
				} else {
					d.RecordSuccess(int64(i), stats)
				}
			}
		})
		b.Run(fmt.Sprintf("marks_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				for k := range workers {
					d.Mark(int64(i), &workers[k], 1)
				}
			}
		})
		b.Run(fmt.Sprintf("gossip_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				d.ApplyGossip(int64(i), digest, float64(n))
			}
		})
	}
	for _, n := range []int{5, 80, 300} {
		marks := make([]Mark, n)
		for i := range marks {
			marks[i] = Mark{uint8(i % 3), uint8(i % 2), uint8(i % 40)}
		}
		b.Run(fmt.Sprintf("merge_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Merge(marks, 3)
			}
		})
	}
}
