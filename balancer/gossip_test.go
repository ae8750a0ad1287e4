package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
)

// TestGossipCostIsBounded proves that the cost of what a dispatcher sends is bounded by its calls,
// counting each receiver of a message.
func TestGossipCostIsBounded(t *testing.T) {
	for _, size := range []int{3, 250} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.Gossip, settings.PeerPrice = size, true, 0.01
		balancer, host := newTestBalancer(t, settings, 100)
		const calls = 2000
		for i := range calls {
			now := int64(i) * 50 * ms
			balancer.HandleRequest(now, testRequest(fmt.Sprint(i), now, FuncID(i)))
			if i%5 > 0 {
				balancer.HandleAttemptResult(now+20*ms, successful(fmt.Sprint(i), host.lastWorker[fmt.Sprint(i)]))
			}
			balancer.HandleTimer(now+30*ms, host.timerRef)
		}
		spent := 0.0
		for i, m := range host.messages {
			receivers := 1
			if host.receivers[i] < 0 {
				receivers = size - 1
			}
			spent += settings.PeerPrice * float64(receivers*len(m)) / 256
		}
		if limit := 2*gossipCostShare*calls + 1; spent > limit {
			t.Errorf("%d dispatchers: messages cost %.2f, %.2f earned", size, spent, limit)
		}
		if len(host.messages) == 0 {
			t.Errorf("%d dispatchers: no message was sent", size)
		}
	}
}

// TestRestartedDispatcherLearnsHoldersFromPeers proves that a restarted dispatcher asks other
// dispatchers for their holders and does not load again what is already loaded.
func TestRestartedDispatcherLearnsHoldersFromPeers(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Gossip = true
	a, fa := newTestBalancer(t, settings, 6)
	for i := range 4 {
		id := fmt.Sprint(i)
		a.HandleRequest(ms, testRequest(id, ms, FuncID(i)))
		a.HandleAttemptResult(2*ms, successful(id, fa.lastWorker[id]))
	}
	settings.DispatcherIndex = 1
	b, fb := newTestBalancer(t, settings, 6)
	b.HandleTimer(200*ms, fb.timerRef)
	a.HandlePeerMessage(201*ms, 1, fb.messages[0])
	fa.messages = nil
	a.HandleTimer(400*ms, fa.timerRef)
	for _, m := range fa.messages {
		b.HandlePeerMessage(401*ms, 0, m)
	}
	for i := range 4 {
		id := fmt.Sprint("b", i)
		b.HandleRequest(500*ms, testRequest(id, 500*ms, FuncID(i)))
		if fb.lastWorker[id] != fa.lastWorker[fmt.Sprint(i)] {
			t.Errorf("function %d is loaded on %d, sent to %d", i, fa.lastWorker[fmt.Sprint(i)], fb.lastWorker[id])
		}
	}
}

// TestHoldersAreAnnouncedInALargeFleet proves that new holders are announced, and that none
// accumulate, even when the counts of many busy workers fill a message.
func TestHoldersAreAnnouncedInALargeFleet(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Gossip = true
	a, fa := newTestBalancer(t, settings, 60)
	markAllResponded(a)
	a.gossip.reportBudget.tokens, a.gossip.digestBudget.tokens = 1, 1
	for i := range 60 {
		a.HandleRequest(1001*ms, testRequest(fmt.Sprint(i), 1001*ms, FuncID(i)))
	}
	a.HandleTimer(1200*ms, fa.timerRef)
	b, _ := newTestBalancer(t, settings, 60)
	for _, m := range fa.messages {
		if len(m) > 256 {
			t.Fatalf("a message of %d bytes", len(m))
		}
		b.HandlePeerMessage(1210*ms, 1, m)
	}
	busy := 0
	for _, worker := range b.endpoints.listed {
		n := int(worker.peerCalls) // b has the sums if a was the leader, otherwise the report of a
		for _, report := range b.gossip.reports.bySender {
			for i := 0; report != nil && i < len(report.counts); i++ {
				if count := report.counts[i]; count.worker == worker {
					n = max(n, int(count.calls))
				}
			}
		}
		busy += n
	}
	if len(a.gossip.announcements) > 0 || len(b.holders.functions) != 60 || busy != 60 {
		t.Fatalf("%d holders left to report, %d functions and %d calls known to the peer", len(a.gossip.announcements),
			len(b.holders.functions), busy)
	}
}

// TestDigestCarriesTheQueueToAll proves that the leader sums the reports, and that the digest shows
// an overload to a dispatcher with little traffic.
func TestDigestCarriesTheQueueToAll(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip = 3, true
	balancer, _ := newTestBalancer(t, settings, 4)
	idleWait := balancer.expectedResponseTime(5000 * ms)
	balancer.HandlePeerMessage(5000*ms, 1, encodedDigest(balancer, 5000*ms, []float64{40, 80},
		aggregate.Count{Worker: 1, InFlight: 9, Responded: true},
		aggregate.Count{Worker: 2, InFlight: 3, Silent: true}))
	if w := balancer.expectedResponseTime(5001 * ms); w < 2*idleWait {
		t.Errorf("expected wait %.0f ms with 80 calls in queue and 40 answers a second, %.0f ms before", w/1e6,
			idleWait/1e6)
	}
	if balancer.endpoints.byID[1].peerCalls != 9 || balancer.isUnresponsive(5001*ms, balancer.endpoints.byID[1]) ||
		!balancer.isUnresponsive(5001*ms, balancer.endpoints.byID[2]) {
		t.Errorf("load %.0f at worker 1, silent %v, %v", balancer.endpoints.byID[1].peerCalls,
			balancer.isUnresponsive(5001*ms, balancer.endpoints.byID[1]), balancer.isUnresponsive(5001*ms,
				balancer.endpoints.byID[2]))
	}
	balancer.HandlePeerMessage(5010*ms, 1, encodedDigest(balancer, 5010*ms, []float64{40, 0}))
	for i := range 40 { // own observations are newer than the report
		balancer.HandleRequest(5020*ms, testRequest(fmt.Sprint(i), 5020*ms, FuncID(i%4)))
	}
	for _, worker := range balancer.endpoints.listed {
		for _, attempt := range worker.inFlight {
			attempt.expectedWarm = true
		}
	}
	if w := balancer.expectedResponseTime(5030 * ms); w < 2*idleWait {
		const format = "expected wait %.0f ms with 40 of our calls queued, %.0f ms after a digest of an idle fleet"
		t.Errorf(format, w/1e6, idleWait/1e6)
	}
	balancer.HandlePeerMessage(5040*ms, 99, encodedDigest(balancer, 5200*ms, []float64{1, 1})) // no such dispatcher
	balancer.HandlePeerMessage(5000*ms, 1, "AAAA")
}

// TestLeaderSendsTheDigestItCanAfford proves that a leader of many dispatchers whose budget does
// not cover a full digest sends, after some terms without one, the sums and the silent workers.
func TestLeaderSendsTheDigestItCanAfford(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip, settings.PeerPrice, settings.OverloadWindow = 300, true, 0.021, 0
	settings.Classes[0].LatencyObjective = 240 * ms
	balancer, host := newTestBalancer(t, settings, 118)
	balancer.gossip.syncRequests = syncPeers
	term := leaderTermObjectives * balancer.shortestObjective
	for at := 10*term + 300*ms; ; at += term {
		if balancer.gossip.elector.Leader(at) != settings.DispatcherIndex {
			continue
		}
		for from := 1; from < 300; from++ { // each accepted three calls
			row := aggregate.Message{
				Calls:  3,
				Report: aggregate.Report{Incarnation: 1, Seq: uint8(at / term), Values: []float64{7, 1}, Fresh: true},
				Counts: []aggregate.Count{
					{Worker: uint16(1 + from%118), InFlight: 1, Responded: true},
					{Worker: 118, InFlight: 1, Silent: true},
				},
			}
			balancer.HandlePeerMessage(at, from, row.Encode(300)[0])
		}
		sentBefore := len(host.messages)
		for in := at; in < at/term*term+term; in += 30 * ms {
			balancer.sendGossip(in)
		}
		if at > 20000*term {
			t.Fatal("never the leader")
		}
		if len(host.messages) == sentBefore {
			t.Fatalf("no digest sent with a budget of %.1f", balancer.gossip.digestBudget.tokens)
		}
		message, ok := aggregate.Decode(host.messages[sentBefore], 300)
		if !ok || message.Digest.Sums[0] < 299*7-1 || len(message.Counts) != 1 || message.Counts[0].Worker != 118 ||
			!balancer.isReportedUnresponsive(at, balancer.endpoints.byID[118]) {
			t.Fatalf("sent %+v", message)
		}
		if len(host.messages) > sentBefore+1 {
			t.Fatalf("%d messages, want 1", len(host.messages)-sentBefore)
		}
		return
	}
}

// TestReportedLatencyRatioIsNotForwarded proves that a latency ratio that others report raises the
// load here, is not reported further, and does not lower what was observed here. If it were
// reported further, it would never decay.
func TestReportedLatencyRatioIsNotForwarded(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip = 12, true
	balancer, _ := newTestBalancer(t, settings, 4)
	now := 1000000 * ms
	before := balancer.weightedLoad(now, balancer.endpoints.byID[1])
	balancer.applyEvidence(now, []aggregate.Mark{
		{Worker: 1, Served: 3, Latency: 16},
		{Worker: 2, Served: 3, Latency: 16},
	})
	if l := balancer.weightedLoad(now, balancer.endpoints.byID[1]); l < 3*before {
		t.Errorf("load %.1f with calls reported to take four times as long, %.1f before", l, before)
	}
	if _, marked := balancer.outliers.Mark(now, &balancer.endpoints.byID[1].outlierStats,
		balancer.relativeLatency(now, balancer.endpoints.byID[1])); marked {
		t.Error("the latency ratio reported by others is reported further")
	}
	balancer.endpoints.byID[2].latencyRatio, balancer.endpoints.byID[2].latencyRatioAt = 8, now
	if l := balancer.weightedLoad(now, balancer.endpoints.byID[2]); l < 30*before {
		t.Errorf("load %.1f with calls observed here to take eight times as long", l)
	}
	if l := balancer.weightedLoad(now+10*int64(balancer.decayTime()), balancer.endpoints.byID[1]); l > 1.1*before {
		t.Errorf("load %.1f after ten decay times", l)
	}
}
