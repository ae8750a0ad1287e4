package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
)

// BenchmarkDecision measures one call with its answer and the timers that it sets. BenchmarkRound
// measures encoding the digest of a leader that has the reports of all other dispatchers.
func BenchmarkDecision(b *testing.B) { benchmarkSizes(b, benchmarkDecision) }

func BenchmarkRound(b *testing.B) { benchmarkSizes(b, benchmarkRound) }

func benchmarkSizes(b *testing.B, run func(*testing.B, Settings, int)) {
	for _, workers := range []int{10, 60, 120} {
		for _, dispatchers := range []int{5, 80, 300} {
			b.Run(fmt.Sprintf("%d_workers_%d_siblings", workers, dispatchers), func(b *testing.B) {
				settings := testSettings(Idempotent, ScopeAll)
				settings.Dispatchers, settings.Gossip, settings.PeerPrice = dispatchers, true, 0.01
				b.ReportAllocs()
				run(b, settings, workers)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, settings Settings, workers int) {
	balancer, host := newTestBalancer(b, settings, workers)
	for i := range b.N {
		now := int64(i) * 5 * ms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i%40)))
		balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
		balancer.HandleTimer(now+2*ms, host.timerRef)
		delete(host.lastWorker, id)
		host.attempts, host.messages = host.attempts[:0], host.messages[:0]
	}
}

func benchmarkRound(b *testing.B, settings Settings, workers int) {
	balancer, _ := newTestBalancer(b, settings, workers)
	report := aggregate.Message{Report: aggregate.Report{Incarnation: 1, Values: []float64{10, 2}}}
	for _, worker := range balancer.endpoints.listed {
		count := aggregate.Count{Worker: workerTag(worker.Worker), InFlight: 3, Responded: true}
		report.Counts = append(report.Counts, count)
	}
	for i := range b.N {
		now := int64(i) * balancer.shortestObjective / maintenanceRounds
		if i%maintenanceRounds == 0 { // as often as each dispatcher reports
			b.StopTimer()
			report.Report.Seq++
			texts := report.Encode(settings.Dispatchers)
			for from := 1; from < settings.Dispatchers; from++ {
				for _, x := range texts {
					balancer.HandlePeerMessage(now, from, x)
				}
			}
			b.StartTimer()
		}
		message := aggregate.Message{FromLeader: true}
		balancer.fillMessage(now, &message)
		if len(message.Encode(settings.Dispatchers)) == 0 || len(message.Counts) != workers {
			b.Fatal("the digest is empty or lacks workers")
		}
	}
}
