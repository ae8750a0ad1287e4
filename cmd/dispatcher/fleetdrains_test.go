package main

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// Guards against late calls from many dispatchers, each of which rarely calls a given worker, to
// workers that drain while heartbeats go on without events. Workers drain in pairs, early and late
// in the outage; meanwhile dispatchers are killed and restarted with the endpoint list from before
// the outage. In one case 30 % of the datagrams between dispatchers are lost, in another health
// checks of draining workers hang.
func TestDrainsThatNoEventTellsManyDispatchers(t *testing.T) {
	running := make(chan struct{}, maxParallelRigs)
	for _, test := range []struct {
		dispatchers, workers int
		callsPerSecond       float64 // of all dispatchers
		peers                lab.PeerLink
		checksHang           bool // health checks of draining workers hang
		seed                 uint64
	}{
		{dispatchers: 6, workers: 12, callsPerSecond: 60, seed: 1},
		{dispatchers: 20, workers: 22, callsPerSecond: 240, seed: 2},
		{dispatchers: 20, workers: 30, callsPerSecond: 40, seed: 3},
		{dispatchers: 30, workers: 16, callsPerSecond: 120, peers: lab.PeerLink{Lost: 0.3}, seed: 4},
		{dispatchers: 20, workers: 22, callsPerSecond: 240, checksHang: true, seed: 5},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			rig := &outageRig{Rig: startFleet(t, lab.RigConfig{
				Dispatchers: test.dispatchers, Workers: test.workers, Seed: test.seed,
				Load: lab.Load{Models: 40, Zipf: 0.8},
				Rate: func(int) float64 { return test.callsPerSecond / float64(test.dispatchers) },
			})}
			rig.PeerNetwork.Set(test.peers, func(int, int) bool { return true })
			if test.checksHang {
				hangChecksInDrain(rig.Workers[:4])
			}
			rig.StartClients(t.Context(), nil)
			sleep(t, 2*time.Second)
			rig.before = time.Now()
			rig.lostAt = sleep(t, 3*time.Second)
			known := rig.Discovery.Snapshot(0)
			withheld.begin(t, rig)
			sleep(t, 500*time.Millisecond)
			rig.Drain(func(worker int) bool { return worker < 2 })
			sleep(t, 5*time.Second)
			rig.Drain(func(worker int) bool { return worker == 2 || worker == 3 })
			var restarts []restart
			for _, n := range []int{1, 2, 3} {
				restarts = append(restarts, restartWith(t, rig.Rig, n, known))
				sleep(t, 2*time.Second)
			}
			rig.backAt = sleep(t, 3*time.Second)
			withheld.end(t, rig)
			rig.end = sleep(t, 3*time.Second)
			rig.StopClients()
			const graceAndSlack = time.Second + 50*time.Millisecond
			for _, worker := range rig.Workers[:4] {
				calls, orders := countObservedAfter(worker, worker.Drained().Add(7*time.Second+graceAndSlack))
				assert.Zero(t, calls, "calls to %s after the grace period", worker.ID)
				assert.Zero(t, orders, "load orders to %s after the grace period", worker.ID)
			}
			rig.assertServed(t)
			breaches := rig.Check(func(attempt lab.Attempt) bool {
				return slices.ContainsFunc(restarts, func(r restart) bool { return r.excuses(attempt) })
			})
			assert.Zero(t, breaches.Sum(), "%+v", breaches)
			assert.NoError(t, rig.Stop())
		})
	}
}

// hangChecksInDrain makes workers leave health checks unanswered once they drain.
func hangChecksInDrain(workers []*lab.StubWorker) {
	for _, worker := range workers {
		worker.Wrap(func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/ping" && !worker.Drained().IsZero() {
					<-r.Context().Done()
					return
				}
				next.ServeHTTP(w, r)
			})
		})
	}
}

// restart holds when a dispatcher was killed and when it was ready again.
type restart struct{ killed, ready time.Time }

// excuses reports whether an attempt overlapped the restart, so that no answer is due.
func (r restart) excuses(attempt lab.Attempt) bool {
	return attempt.Sent.Before(r.ready) && attempt.Ended.After(r.killed)
}

// restartWith kills a dispatcher, starts it again with an endpoint list and waits until it is
// ready.
func restartWith(t *testing.T, rig *lab.Rig, n int, known map[string]any) (r restart) {
	t.Helper()
	dispatcher := rig.Nodes[n]
	require.NoError(t, dispatcher.SetKnownWorkers(known))
	r.killed = time.Now()
	require.NoError(t, dispatcher.Kill())
	require.NoError(t, dispatcher.Start())
	require.NoError(t, dispatcher.WaitReady(t.Context()))
	r.ready = time.Now()
	return r
}
