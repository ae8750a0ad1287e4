package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
)

// Found at full size: every dispatcher told every other several times a second, and the day was cut
// off. What one dispatcher sends is bounded by its calls and by the number of its receivers.
func TestGossipCostIsBounded(t *testing.T) {
	for _, size := range []int{3, 250} {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers, s.Gossip, s.PeerPrice = size, true, 0.01
		d, f := newTestBalancer(t, s, 100)
		const calls = 2000
		for i := range calls {
			now := int64(i) * 50 * ms
			d.HandleRequest(now, testRequest(fmt.Sprint(i), now, FuncID(i)))
			if i%5 > 0 {
				d.HandleAttemptResult(now+20*ms, successful(fmt.Sprint(i), f.lastWorker[fmt.Sprint(i)]))
			}
			d.HandleTimer(now+30*ms, f.timerRef)
		}
		spent := 0.0
		for i, m := range f.messages {
			receivers := 1
			if f.receivers[i] < 0 {
				receivers = size - 1
			}
			spent += s.PeerPrice * float64(receivers*len(m)) / 256
		}
		if limit := 2*gossipCostShare*calls + 1; spent > limit {
			t.Errorf("%d dispatchers: messages cost %.2f, %.2f earned", size, spent, limit)
		}
		if len(f.messages) == 0 {
			t.Errorf("%d dispatchers: nothing was told", size)
		}
	}
}

// A restarted dispatcher asks its peers and learns what is loaded, without loading it again.
func TestRestartedDispatcherLearnsHoldersFromPeers(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Gossip = true
	a, fa := newTestBalancer(t, s, 6)
	for i := range 4 {
		id := fmt.Sprint(i)
		a.HandleRequest(ms, testRequest(id, ms, FuncID(i)))
		a.HandleAttemptResult(2*ms, successful(id, fa.lastWorker[id]))
	}
	s.DispatcherIndex = 1
	b, fb := newTestBalancer(t, s, 6)
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

// With many busy workers the counts fill a message; new holders must still be told, and nothing
// pile up.
func TestHoldersAreAnnouncedInALargeFleet(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Gossip = true
	a, fa := newTestBalancer(t, s, 60)
	markAllResponded(a)
	a.gossip.reportBudget.tokens, a.gossip.digestBudget.tokens = 1, 1
	for i := range 60 {
		a.HandleRequest(1001*ms, testRequest(fmt.Sprint(i), 1001*ms, FuncID(i)))
	}
	a.HandleTimer(1200*ms, fa.timerRef)
	b, _ := newTestBalancer(t, s, 60)
	for _, m := range fa.messages {
		if len(m) > 256 {
			t.Fatalf("a message of %d bytes", len(m))
		}
		b.HandlePeerMessage(1210*ms, 1, m)
	}
	busy := 0
	for _, w := range b.endpoints.listed {
		n := int(w.peerCalls) // where a was the hub, b knows the sums; else a reported to b
		for _, r := range b.gossip.reports.bySender {
			for i := 0; r != nil && i < len(r.counts); i++ {
				if c := r.counts[i]; c.worker == w {
					n = max(n, int(c.calls))
				}
			}
		}
		busy += n
	}
	if len(a.gossip.announcements) > 0 || len(b.holders.functions) != 60 || busy != 60 {
		t.Fatalf("%d holders left to tell, %d functions and %d calls known to the peer", len(a.gossip.announcements), len(b.holders.functions), busy)
	}
}

// Reports are summed at the hub and the sums reach all: overload is seen by a dispatcher with
// little traffic.
func TestDigestCarriesTheQueueToAll(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip = 3, true
	d, _ := newTestBalancer(t, s, 4)
	calm := d.expectedQueueTime(5000 * ms)
	d.HandlePeerMessage(5000*ms, 1, encodedDigest(d, 5000*ms, []float64{40, 80}, aggregate.Count{Worker: 1, N: 9, Heard: true}, aggregate.Count{Worker: 2, N: 3, Silent: true}))
	if w := d.expectedQueueTime(5001 * ms); w < 2*calm {
		t.Errorf("expected wait %.0f ms with 80 calls in queue and 40 answers a second, %.0f ms before", w/1e6, calm/1e6)
	}
	if d.endpoints.byID[1].peerCalls != 9 || d.isUnresponsive(5001*ms, d.endpoints.byID[1]) || !d.isUnresponsive(5001*ms, d.endpoints.byID[2]) {
		t.Errorf("load %.0f at worker 1, silent %v, %v", d.endpoints.byID[1].peerCalls, d.isUnresponsive(5001*ms, d.endpoints.byID[1]), d.isUnresponsive(5001*ms, d.endpoints.byID[2]))
	}
	d.HandlePeerMessage(5010*ms, 1, encodedDigest(d, 5010*ms, []float64{40, 0}))
	for i := range 40 { // what we see ourselves is newer than what was told
		d.HandleRequest(5020*ms, testRequest(fmt.Sprint(i), 5020*ms, FuncID(i%4)))
	}
	for _, w := range d.endpoints.listed {
		for _, a := range w.inFlight {
			a.expectedWarm = true
		}
	}
	if w := d.expectedQueueTime(5030 * ms); w < 2*calm {
		t.Errorf("expected wait %.0f ms with 40 calls of our own in queue, an idle fleet told just before, %.0f ms then", w/1e6, calm/1e6)
	}
	d.HandlePeerMessage(5040*ms, 99, encodedDigest(d, 5200*ms, []float64{1, 1})) // no such sibling
	d.HandlePeerMessage(5000*ms, 1, "AAAA")
}

// Found with 300 dispatchers: a digest of all workers cost more than a hub may save up, so one was
// sent in a whole day, and nothing was shared. Where none has come for some terms a hub tells the
// sums, and what is silent.
func TestLeaderSendsTheDigestItCanAfford(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip, s.PeerPrice, s.OverloadWindow = 300, true, 0.021, 0
	s.Classes[0].LatencyObjective = 240 * ms
	d, f := newTestBalancer(t, s, 118)
	d.gossip.syncRequests = syncPeers
	term := leaderTermObjectives * d.shortestObjective
	for at := 10*term + 300*ms; ; at += term {
		if d.gossip.elector.Leader(at) != s.DispatcherIndex {
			continue
		}
		for from := 1; from < 300; from++ { // each took some three calls
			row := aggregate.Message{Calls: 3, Report: aggregate.Report{Incarnation: 1, Seq: uint8(at / term), Values: []float64{7, 1}, Fresh: true},
				Counts: []aggregate.Count{{Worker: uint16(1 + from%118), N: 1, Heard: true}, {Worker: 118, N: 1, Silent: true}}}
			d.HandlePeerMessage(at, from, row.Encode(300)[0])
		}
		told := len(f.messages)
		for in := at; in < at/term*term+term; in += 30 * ms {
			d.sendGossip(in)
		}
		if at > 20000*term {
			t.Fatal("never the hub")
		}
		if len(f.messages) == told {
			t.Fatalf("told nothing, with %.1f earned", d.gossip.digestBudget.tokens)
		}
		m, ok := aggregate.Decode(f.messages[told], 300)
		if !ok || m.Digest.Sums[0] < 299*7-1 || len(m.Counts) != 1 || m.Counts[0].Worker != 118 || !d.isReportedUnresponsive(at, d.endpoints.byID[118]) {
			t.Fatalf("told %+v", m)
		}
		if len(f.messages) > told+1 {
			t.Fatalf("%d texts", len(f.messages)-told)
		}
		return
	}
}

// Found by reading: what others told of a worker's pace was told on as if seen, so that it never
// faded. It weighs here, is told to nobody, and what we saw ourselves is not made less by it.
func TestReportedPaceIsNotReportedOn(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip = 12, true
	d, _ := newTestBalancer(t, s, 4)
	now := 1000000 * ms
	before := d.weightedLoad(now, d.endpoints.byID[1])
	d.applyEvidence(now, []aggregate.Mark{{Worker: 1, Good: 3, Pace: 16}, {Worker: 2, Good: 3, Pace: 16}})
	if l := d.weightedLoad(now, d.endpoints.byID[1]); l < 3*before {
		t.Errorf("load %.1f with calls told to take four times as long, %.1f before", l, before)
	}
	if _, says := d.outliers.Mark(now, &d.endpoints.byID[1].outlierStats, d.relativeLatency(now, d.endpoints.byID[1])); says {
		t.Error("it is told on")
	}
	d.endpoints.byID[2].pace, d.endpoints.byID[2].paceAt = 8, now
	if l := d.weightedLoad(now, d.endpoints.byID[2]); l < 30*before {
		t.Errorf("load %.1f with eight times as long seen here", l)
	}
	if l := d.weightedLoad(now+10*int64(d.decayTime()), d.endpoints.byID[1]); l > 1.1*before {
		t.Errorf("load %.1f long after", l)
	}
}
