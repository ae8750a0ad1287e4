package lab

import (
	"math"
	"os"
	"slices"
	"time"
)

// cachedListWindow is the time after the restart in which errors, earned value and peaks are
// counted.
const cachedListWindow = 10 * time.Second

// callCounts counts the calls of all clients around a crash.
type callCounts struct {
	offered, earned       float64 // from the crash to the end of the window
	all, unserved         int     // from the restart to the end of the window
	allLate, unservedLate int     // the same, from 3 s after the restart
	latencies             []time.Duration
}

// add counts a call; window starts at the restart.
func (k *callCounts) add(figures *Figures, call *Call, killed, restarted time.Time, window time.Duration) {
	after := call.Intended.Sub(restarted)
	if call.Intended.After(killed) && after < window {
		k.offered += figures.Classes[call.Class].PriorityWeight
		k.earned += call.WeightedValue(figures)
	}
	if after < 0 || after >= window {
		return
	}
	k.all++
	if call.Served {
		k.latencies = append(k.latencies, call.Ended.Sub(call.Intended))
	} else {
		k.unserved++
	}
	if after < 3*time.Second {
		return
	}
	k.allLate++
	if !call.Served {
		k.unservedLate++
	}
}

// count returns the result of an arm by what clients and workers observed.
func (w *cachedListWorld) count(killed, restarted, returned time.Time, size cachedListPlan) *cachedListResult {
	result := &cachedListResult{}
	window := min(cachedListWindow, size.outage+size.tail)
	var k callCounts
	for n, clients := range w.clients {
		result.maxLag = max(result.maxLag, clients.MaxLag())
		calls := clients.Calls()
		result.calls += len(calls)
		for _, call := range calls {
			k.add(w.f, call, killed, restarted, window)
		}
		w.countDispatcher(result, w.dispatcher[n], calls)
	}
	result.service = k.earned / math.Max(k.offered, 1)
	result.unserved = float64(k.unserved) / float64(max(1, k.all))
	result.unservedLate = float64(k.unservedLate) / float64(max(1, k.allLate))
	if len(k.latencies) > 0 {
		slices.Sort(k.latencies)
		result.p99 = k.latencies[len(k.latencies)*99/100]
	}
	result.peakBefore = w.calmPeak(killed.Add(-4700*time.Millisecond), killed.Add(-700*time.Millisecond))
	w.countWorkers(result, restarted, returned, min(window, size.outage), size)
	return result
}

// countDispatcher counts the attempts sent to a dispatcher that got no complete answer, except
// those in flight at its crash, and records how long it took from its restart until it was ready.
func (w *cachedListWorld) countDispatcher(result *cachedListResult, dispatcher *Dispatcher, calls []*Call) {
	lost, wrong := Unanswered(calls, func(attempt Attempt) bool {
		return attempt.Sent.Before(dispatcher.KillTimes[0].Add(50*time.Millisecond)) &&
			attempt.Ended.After(dispatcher.KillTimes[0])
	})
	result.unanswered, result.wrong = result.unanswered+lost, result.wrong+wrong
	for i := range dispatcher.ReadyTimes {
		if i > 0 {
			result.maxReadyTime = max(result.maxReadyTime, dispatcher.ReadyTimes[i].Sub(dispatcher.StartTimes[i]))
		}
	}
}

// calmPeak returns the calls of the busiest second of any listed worker, relative to the mean of
// all.
func (w *cachedListWorld) calmPeak(from, until time.Time) float64 {
	most, total := 0, 0
	for _, worker := range w.workers {
		calls, _ := worker.Observations()
		var in []time.Time
		for _, observation := range calls {
			if observation.Admitted && observation.At.After(from) && observation.At.Before(until) {
				in = append(in, observation.At)
			}
		}
		most, total = max(most, mostInOneSecond(in)), total+len(in)
	}
	return float64(most) / math.Max(float64(total)/float64(len(w.workers))/until.Sub(from).Seconds(), 1e-9)
}

// countWorkers evaluates the workers' observations: calls run twice, late sends, collapsed workers,
// and the distribution of the load.
func (w *cachedListWorld) countWorkers(
	result *cachedListResult, restarted, returned time.Time, window time.Duration, size cachedListPlan,
) {
	var all [][]ObservedCall
	var staying [][]time.Time
	total := 0
	final := returned.Add(size.tail - 3*time.Second)
	oldEnd, freshEnd, olds := 0, 0, 0
	for i, worker := range append(append([]*StubWorker(nil), w.workers...), w.replacements...) {
		calls, _ := worker.Observations()
		all = append(all, calls)
		if worker.Collapsed() {
			result.collapsed++
		}
		var times []time.Time
		ends := 0
		for _, observation := range calls {
			if observation.Admitted && observation.At.After(restarted) && observation.At.Before(restarted.Add(window)) {
				times = append(times, observation.At)
			}
			if observation.Admitted && observation.At.After(final) {
				ends++
			}
		}
		switch {
		case i >= len(w.workers):
			freshEnd += ends
		case w.faults[i] == faultNone:
			staying = append(staying, times)
			total += len(times)
			oldEnd += ends
			olds++
		case w.faults[i] == faultDrains:
			result.lateSends += w.lateSends(worker, calls)
		}
	}
	result.twice = RunTwice(w.f, all...)
	share := float64(total) / float64(max(1, len(staying))) / window.Seconds()
	for _, times := range staying {
		result.peak = max(result.peak, float64(mostInOneSecond(times))/math.Max(share, 1e-9))
	}
	result.newWorkerLoad = float64(freshEnd) / float64(max(1, len(w.replacements))) /
		math.Max(float64(oldEnd)/float64(max(1, olds)), 1e-9)
}

// lateSends counts the calls sent to a draining worker after the permitted delay.
func (w *cachedListWorld) lateSends(worker *StubWorker, calls []ObservedCall) int {
	return LateSends(notifiedTimes(w.disc, len(w.dispatcher), worker.ID), calls)
}

// cachedListReport adds the rows and bounds of all arms.
func cachedListReport(rep *Report, res []*cachedListResult, size cachedListPlan) {
	row := func(name, unit string, of func(*cachedListResult) float64) {
		var vs []float64
		for _, result := range res {
			vs = append(vs, of(result))
		}
		rep.Row(name, unit, vs...)
	}
	row("calls", "", func(result *cachedListResult) float64 { return float64(result.calls) })
	row("path-book run twice", "", func(result *cachedListResult) float64 { return float64(result.twice) })
	row("tries without a whole answer", "",
		func(result *cachedListResult) float64 { return float64(result.unanswered) })
	row("answers that no box made", "", func(result *cachedListResult) float64 { return float64(result.wrong) })
	row("sent late to draining boxes", "", func(result *cachedListResult) float64 { return float64(result.lateSends) })
	row("boxes pushed over", "", func(result *cachedListResult) float64 { return float64(result.collapsed) })
	row("ready after, most", "ms",
		func(result *cachedListResult) float64 { return float64(result.maxReadyTime.Milliseconds()) })
	row("worth in time, first 10 s", "of that asked", func(result *cachedListResult) float64 { return result.service })
	row("calls never served, first 10 s", "%", func(result *cachedListResult) float64 { return 100 * result.unserved })
	row("the same from 3 s on", "%", func(result *cachedListResult) float64 { return 100 * result.unservedLate })
	row("p99 of served, first 10 s", "ms",
		func(result *cachedListResult) float64 { return float64(result.p99.Milliseconds()) })
	row("peak second of a box", "times its share", func(result *cachedListResult) float64 { return result.peak })
	row("the same before the crash", "times its share",
		func(result *cachedListResult) float64 { return result.peakBefore })
	row("fresh boxes at the end", "of the others' calls",
		func(result *cachedListResult) float64 { return result.newWorkerLoad })
	row("dispatchers' CPU before the crash", "us a call", func(result *cachedListResult) float64 { return result.cpu })
	row("generator late, most", "ms",
		func(result *cachedListResult) float64 { return float64(result.maxLag.Milliseconds()) })
	ours, up, naive := res[armOurs], res[armDiscoveryUp], res[armNaive]
	rep.AtMost("path-book run twice", float64(ours.twice), 0)
	rep.AtMost("tries without a whole answer", float64(ours.unanswered+ours.wrong), 0)
	rep.AtMost("sends more than 1 s after a drain was told", float64(ours.lateSends), 0)
	rep.AtMost("boxes pushed over", float64(ours.collapsed), 0)
	rep.AtMost("ready, ms", float64(ours.maxReadyTime.Milliseconds()), 500)
	// The share lost by naive is taken as at least one call in a thousand: below that it consists
	// of single calls.
	rep.AtMost("calls never served, over naive's", ours.unserved/math.Max(naive.unserved, 0.001), 0.25)
	rep.AtMost("calls never served from 3 s on, %", 100*ours.unservedLate, 1)
	rep.AtLeast("worth in time, over that with discovery up", ours.service/math.Max(up.service, 1e-9), 0.9)
	share := 0.5
	if size.tail < 15*time.Second { // new workers get the calls of new models, of which a short run has few
		share = 0.3
	}
	rep.AtLeast("fresh boxes at the end, of the others' calls", ours.newWorkerLoad, share)
	rep.AtMost("peak second of a box, over that with discovery up", ours.peak/math.Max(up.peak, 1e-9), 1.35)
}

// MakeTempDir creates a temporary directory for a run, sets o.Dir to it, and returns a function
// that removes it.
func MakeTempDir(o *Options) (func(), error) {
	dir, err := os.MkdirTemp("", "testbed-*")
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	return func() { _ = os.RemoveAll(dir) }, nil
}
