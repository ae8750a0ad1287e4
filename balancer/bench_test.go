package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
)

// BenchmarkDecision is one call with its answer and what timers it sets; BenchmarkRound the digest
// of a hub that holds the reports of all others.
func BenchmarkDecision(b *testing.B) { benchmarkSizes(b, benchmarkDecision) }

func BenchmarkRound(b *testing.B) { benchmarkSizes(b, benchmarkRound) }

func benchmarkSizes(b *testing.B, run func(*testing.B, Settings, int)) {
	for _, workers := range []int{10, 60, 120} {
		for _, siblings := range []int{5, 80, 300} {
			b.Run(fmt.Sprintf("%d_workers_%d_siblings", workers, siblings), func(b *testing.B) {
				s := testSettings(Idempotent, ScopeAll)
				s.Dispatchers, s.Gossip, s.PeerPrice = siblings, true, 0.01
				b.ReportAllocs()
				run(b, s, workers)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, s Settings, workers int) {
	d, f := newTestBalancer(b, s, workers)
	for i := range b.N {
		now := int64(i) * 5 * ms
		id := fmt.Sprint(i)
		d.HandleRequest(now, testRequest(id, now, FuncID(i%40)))
		d.HandleAttemptResult(now+ms, successful(id, f.lastWorker[id]))
		d.HandleTimer(now+2*ms, f.timerRef)
		delete(f.lastWorker, id)
		f.attempts, f.messages = f.attempts[:0], f.messages[:0]
	}
}

func benchmarkRound(b *testing.B, s Settings, workers int) {
	d, _ := newTestBalancer(b, s, workers)
	report := aggregate.Message{Report: aggregate.Report{Incarnation: 1, Values: []float64{10, 2}}}
	for _, w := range d.endpoints.listed {
		report.Counts = append(report.Counts, aggregate.Count{Worker: workerTag(w.Worker), N: 3, Heard: true})
	}
	for i := range b.N {
		now := int64(i) * d.shortestObjective / maintenanceRounds
		if i%maintenanceRounds == 0 { // as often as each of them reports
			b.StopTimer()
			report.Report.Seq++
			texts := report.Encode(s.Dispatchers)
			for from := 1; from < s.Dispatchers; from++ {
				for _, x := range texts {
					d.HandlePeerMessage(now, from, x)
				}
			}
			b.StartTimer()
		}
		m := aggregate.Message{FromLeader: true}
		d.fillMessage(now, &m)
		if len(m.Encode(s.Dispatchers)) == 0 || len(m.Counts) != workers {
			b.Fatal("the digest lacks workers")
		}
	}
}
