package lab

import (
	"math"
	"os"
	"slices"
	"time"
)

// cachedListWindow is for how long after the restart errors, service and peaks are counted.
const cachedListWindow = 10 * time.Second

// callCounts are the calls of all clients around a crash.
type callCounts struct {
	asked, earned         float64 // from the crash to the end of the window
	all, unserved         int     // from the restart to the end of the window
	allLate, unservedLate int     // the same, from 3 s after the restart
	times                 []time.Duration
}

// add counts a call; window is counted from the restart.
func (k *callCounts) add(figures *Figures, call *Call, killed, restarted time.Time, window time.Duration) {
	after := call.Intended.Sub(restarted)
	if call.Intended.After(killed) && after < window {
		k.asked += figures.Classes[call.Class].PriorityWeight
		k.earned += call.WeightedValue(figures)
	}
	if after < 0 || after >= window {
		return
	}
	k.all++
	if call.Served {
		k.times = append(k.times, call.Ended.Sub(call.Intended))
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
	window := min(cachedListWindow, size.back+size.end)
	var k callCounts
	for n, clients := range w.clients {
		result.late = max(result.late, clients.MaxLag())
		calls := clients.Calls()
		result.calls += len(calls)
		for _, call := range calls {
			k.add(w.f, call, killed, restarted, window)
		}
		w.countDispatcher(result, w.dispatcher[n], calls)
	}
	result.service = k.earned / math.Max(k.asked, 1)
	result.errors = float64(k.unserved) / float64(max(1, k.all))
	result.errorsLate = float64(k.unservedLate) / float64(max(1, k.allLate))
	if len(k.times) > 0 {
		slices.Sort(k.times)
		result.p99 = k.times[len(k.times)*99/100]
	}
	result.calm = w.calmPeak(killed.Add(-4700*time.Millisecond), killed.Add(-700*time.Millisecond))
	w.countWorkers(result, restarted, returned, min(window, size.back), size)
	return result
}

// countDispatcher counts the attempts at a dispatcher that got no complete answer, other than those
// that crossed its crash, and the time of its restart until it was ready.
func (w *cachedListWorld) countDispatcher(result *cachedListResult, dispatcher *Dispatcher, calls []*Call) {
	lost, wrong := Unanswered(calls, func(attempt Attempt) bool {
		return attempt.Sent.Before(dispatcher.Killed[0].Add(50*time.Millisecond)) &&
			attempt.Ended.After(dispatcher.Killed[0])
	})
	result.unanswered, result.wrong = result.unanswered+lost, result.wrong+wrong
	for i := range dispatcher.Ready {
		if i > 0 {
			result.readyMost = max(result.readyMost, dispatcher.Ready[i].Sub(dispatcher.Began[i]))
		}
	}
}

// calmPeak returns the busiest second of any listed worker over the mean of all.
func (w *cachedListWorld) calmPeak(from, until time.Time) float64 {
	most, total := 0, 0
	for _, worker := range w.workers {
		calls, _ := worker.Observations()
		var in []time.Time
		for _, observation := range calls {
			if observation.Took && observation.At.After(from) && observation.At.Before(until) {
				in = append(in, observation.At)
			}
		}
		most, total = max(most, mostInOneSecond(in)), total+len(in)
	}
	return float64(most) / math.Max(float64(total)/float64(len(w.workers))/until.Sub(from).Seconds(), 1e-9)
}

// countWorkers takes from the workers what they observed: calls run twice, late sends, overload,
// and how the load was spread.
func (w *cachedListWorld) countWorkers(
	result *cachedListResult, restarted, returned time.Time, window time.Duration, size cachedListPlan,
) {
	var all [][]ObservedCall
	var staying [][]time.Time
	total := 0
	final := returned.Add(size.end - 3*time.Second)
	oldEnd, freshEnd, olds := 0, 0, 0
	for i, worker := range append(append([]*StubWorker(nil), w.workers...), w.fresh...) {
		calls, _ := worker.Observations()
		all = append(all, calls)
		if worker.Fallen() {
			result.fallen++
		}
		var times []time.Time
		ends := 0
		for _, observation := range calls {
			if observation.Took && observation.At.After(restarted) && observation.At.Before(restarted.Add(window)) {
				times = append(times, observation.At)
			}
			if observation.Took && observation.At.After(final) {
				ends++
			}
		}
		switch {
		case i >= len(w.workers):
			freshEnd += ends
		case w.fate[i] == stays:
			staying = append(staying, times)
			total += len(times)
			oldEnd += ends
			olds++
		case w.fate[i] == drains:
			result.lateDrains += w.late(worker, calls)
		}
	}
	result.twice = RunTwice(w.f, all...)
	share := float64(total) / float64(max(1, len(staying))) / window.Seconds()
	for _, times := range staying {
		result.peak = max(result.peak, float64(mostInOneSecond(times))/math.Max(share, 1e-9))
	}
	result.fresh = float64(freshEnd) / float64(max(1, len(w.fresh))) / math.Max(float64(oldEnd)/float64(max(1, olds)),
		1e-9)
}

// late counts the calls sent too late to a draining worker.
func (w *cachedListWorld) late(worker *StubWorker, calls []ObservedCall) int {
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
	row("sent late to draining boxes", "", func(result *cachedListResult) float64 { return float64(result.lateDrains) })
	row("boxes pushed over", "", func(result *cachedListResult) float64 { return float64(result.fallen) })
	row("ready after, most", "ms",
		func(result *cachedListResult) float64 { return float64(result.readyMost.Milliseconds()) })
	row("worth in time, first 10 s", "of that asked", func(result *cachedListResult) float64 { return result.service })
	row("calls never served, first 10 s", "%", func(result *cachedListResult) float64 { return 100 * result.errors })
	row("the same from 3 s on", "%", func(result *cachedListResult) float64 { return 100 * result.errorsLate })
	row("p99 of served, first 10 s", "ms",
		func(result *cachedListResult) float64 { return float64(result.p99.Milliseconds()) })
	row("peak second of a box", "times its share", func(result *cachedListResult) float64 { return result.peak })
	row("the same before the crash", "times its share", func(result *cachedListResult) float64 { return result.calm })
	row("fresh boxes at the end", "of the others' calls",
		func(result *cachedListResult) float64 { return result.fresh })
	row("dispatchers' CPU before the crash", "us a call", func(result *cachedListResult) float64 { return result.cpu })
	row("generator late, most", "ms",
		func(result *cachedListResult) float64 { return float64(result.late.Milliseconds()) })
	ours, up, naive := res[armOurs], res[armUp], res[armFresh]
	rep.AtMost("path-book run twice", float64(ours.twice), 0)
	rep.AtMost("tries without a whole answer", float64(ours.unanswered+ours.wrong), 0)
	rep.AtMost("sends more than 1 s after a drain was told", float64(ours.lateDrains), 0)
	rep.AtMost("boxes pushed over", float64(ours.fallen), 0)
	rep.AtMost("ready, ms", float64(ours.readyMost.Milliseconds()), 500)
	// One call in a thousand is taken for the least that naive can lose: fewer are single calls.
	rep.AtMost("calls never served, over naive's", ours.errors/math.Max(naive.errors, 0.001), 0.25)
	rep.AtMost("calls never served from 3 s on, %", 100*ours.errorsLate, 1)
	rep.AtLeast("worth in time, over that with discovery up", ours.service/math.Max(up.service, 1e-9), 0.9)
	share := 0.5
	if size.end < 15*time.Second { // new workers get what new models bring, and a short run has few
		share = 0.3
	}
	rep.AtLeast("fresh boxes at the end, of the others' calls", ours.fresh, share)
	rep.AtMost("peak second of a box, over that with discovery up", ours.peak/math.Max(up.peak, 1e-9), 1.35)
}

// Scratch makes a folder for a run and returns how to remove it.
func Scratch(o *Options) (func(), error) {
	dir, err := os.MkdirTemp("", "testbed-*")
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	return func() { _ = os.RemoveAll(dir) }, nil
}
