package lab

// Counts of calls, loads and copies in busy fleets without faults, and the omniscient router that
// is their reference. The router sees the true state of all workers, which no dispatcher can; no
// dispatcher takes part in its arm.

import (
	"fmt"
	"strconv"
	"time"

	"oakthread/balancer"
)

// callEnd is how the last attempt of a call that was never served ended.
type callEnd int

const (
	endNone     callEnd = iota // served, or no attempt of it has ended
	endRefused                 // by the balancer, before anything was sent
	endRejected                // by the balancer, after full workers had rejected it
	endGivenUp                 // at its deadline, or after a failure
	callEnds
)

func (o *sentCall) unservedEnd() callEnd {
	if o.rejections > 0 {
		return endRejected
	} else if o.attempts > 0 {
		return endGivenUp
	}
	return endRefused
}

// serviceCounts counts the results of a run's calls, its loads and its copies. Of a nil value only
// the method that counts arrivals may be called; it then counts nothing.
type serviceCounts struct {
	ends            [callEnds]int // of calls never served
	calls           int
	inTime, late    int
	attempts        [3]int // admitted calls by Warmth: found a copy, began a load, waited for a load
	rejected        int    // calls rejected by a worker
	redundantOrders int    // orders for a copy that was loaded or loading
	rejectedOrders  int    // orders that workers rejected
	byCalls         int    // loads started by calls
	byOrders        int    // loads started by orders
	needless        int    // of both: another worker had a spare loaded copy, see hasSpareCopy
	unloads
	loadTime time.Duration // total time of the loads, including their queueing at the worker
	copies   []int         // loaded in the complete fleet, sampled each second
	loading  []int         // being loaded, at the same times
}

// countArrival counts a job that arrived at a worker.
func (k *serviceCounts) countArrival(w *simWorld, worker *simWorker, job *Job, admission Admission) {
	switch {
	case k == nil:
		return
	case admission != Admitted && job.Order:
		k.rejectedOrders++
		return
	case admission != Admitted:
		k.rejected++
		return
	case !job.Order:
		k.attempts[job.Warmth]++
	case job.Warmth != BeganLoad:
		k.redundantOrders++
	}
	if job.Warmth != BeganLoad {
		return
	}
	if k.loadTime += worker.model.copies[job.Model].ready.Sub(w.now); job.Order {
		k.byOrders++
	} else {
		k.byCalls++
	}
	for _, other := range w.workers {
		if other != worker && other.model.hasSpareCopy(w.now, job.Model) {
			k.needless++
			break
		}
	}
}

// hasSpareCopy reports whether a loaded copy of a model has free concurrency and the worker has
// fewer calls running and queued than that copy's concurrency.
func (b *WorkerModel) hasSpareCopy(now time.Time, model uint64) bool {
	loaded := b.copies[model]
	if loaded == nil || loaded.ready.After(now) || loaded.jobs >= loaded.concurrency {
		return false
	}
	queue, _ := b.Report(now)
	return len(b.running)+queue < loaded.concurrency
}

// sample records the current number of the fleet's copies.
func (k *serviceCounts) sample(w *simWorld) {
	standing, loading := 0, 0
	for _, worker := range w.workers {
		for _, loaded := range worker.model.copies {
			if loaded.ready.After(w.now) {
				loading++
			} else {
				standing++
			}
		}
	}
	k.copies, k.loading = append(k.copies, standing), append(k.loading, loading)
}

// close counts the calls and the workers' unloads at the end of a run.
func (k *serviceCounts) close(w *simWorld) {
	for _, call := range w.calls {
		switch k.calls++; {
		case !call.served:
			k.ends[call.end]++
		case call.ended.Sub(call.intended) <= w.f.Classes[call.class].LatencyObjective:
			k.inTime++
		default:
			k.late++
		}
	}
	for _, worker := range w.workers {
		k.evicted += worker.model.unloads.evicted
		k.requested += worker.model.unloads.requested
		k.expired += worker.model.unloads.expired
	}
}

// serviceRow is a figure of a busy fleet.
type serviceRow struct{ name, unit string }

// serviceRows returns the figures of a busy fleet in the order of the report.
func serviceRows() []serviceRow {
	return []serviceRow{
		{valueInTime, "of that asked"},
		{valueInTime + ", calls of the last 12 s", "of that asked"},
		{"calls never served", "of all"},
		{"calls late", "of all"},
		{"never served: refused before a send", "of all"},
		{"never served: turned away by full boxes", "of all"},
		{"never served: given up", "of all"},
		{"turned away by a box", "a call"},
		{"loads", "a call"},
		{"loads ordered", "a call"},
		{"loads needless", "a call"},
		{"idle copies pushed out by loads", "a call"},
		{"a load takes", "s"},
		{"copies standing, at the end", "in all"},
		{"copies loading, at the end", "in all"},
	}
}

// figures returns the figures by the names of serviceRows.
func (k *serviceCounts) figures(result *fleetResult) map[string]float64 {
	of := func(n int) float64 { return float64(n) / float64(max(1, k.calls)) }
	loads := k.byCalls + k.byOrders
	values := []float64{
		result.service, result.later, result.unserved, of(k.late), of(k.ends[endRefused]), of(k.ends[endRejected]),
		of(k.ends[endGivenUp]),
		of(k.rejected), of(loads),
		of(k.byOrders), of(k.needless), of(k.evicted), k.loadTime.Seconds() / float64(max(1, loads)),
		float64(k.copies[len(k.copies)-1]),
		float64(k.loading[len(k.loading)-1]),
	}
	out := map[string]float64{}
	for i, row := range serviceRows() {
		out[row.name] = values[i]
	}
	return out
}

// String returns all counts in one line.
func (k *serviceCounts) String() string {
	return fmt.Sprintf("%d calls: %d in time, %d late, %d refused, %d turned away, %d given up; at boxes %d found a "+
		"copy, %d began a load, %d waited for one, %d full; "+
		"%d loads ordered, %d orders for what was there, %d refused; %d loads needless; unloaded %d pushed out, %d "+
		"by order, %d idle",
		k.calls, k.inTime, k.late, k.ends[endRefused], k.ends[endRejected], k.ends[endGivenUp], k.attempts[WarmHit],
		k.attempts[BeganLoad], k.attempts[AwaitedLoad], k.rejected,
		k.byOrders, k.redundantOrders, k.rejectedOrders, k.needless, k.evicted, k.requested, k.expired)
}

// routeByOracle routes a call by the true state of all workers: to the loaded copy that answers
// first. If none answers within half of the latency objective and none is being loaded, it orders a
// load where the copy will be ready soonest. A call without a copy that answers before its deadline
// is held.
func (s *simNode) routeByOracle(call *simCall) {
	w, class := s.w, s.w.f.Classes[call.class]
	deadline := call.intended.Add(class.ClientTimeout - 200*time.Millisecond)
	route := w.bestRoute(call)
	slow := route.worker == nil || route.answer.After(call.intended.Add(class.LatencyObjective/2))
	if slow && route.loaded.IsZero() && route.loadWorker != nil {
		route.loaded = w.orderOracleLoad(call, route.loadWorker)
	}
	switch {
	case route.worker != nil && !route.answer.After(deadline):
		s.sendByOracle(call, route.worker, deadline)
	case !route.loaded.IsZero() && route.loaded.Before(deadline):
		w.at(route.loaded, func() { s.routeByOracle(call) })
	case w.now.Add(10 * time.Millisecond).Before(deadline):
		w.after(10*time.Millisecond, func() { s.routeByOracle(call) })
	default:
		call.end, call.ended = endGivenUp, w.now
	}
}

// oracleRoute is the omniscient router's view for one call. Fields that do not apply are zero or
// nil.
type oracleRoute struct {
	worker     *simWorker // with the loaded copy that answers first, at answer
	answer     time.Time
	loaded     time.Time  // when the first of the copies being loaded is ready
	loadWorker *simWorker // where a copy ordered now would be ready soonest
	loadReady  time.Time
}

// bestRoute returns the route of a call over all workers.
func (w *simWorld) bestRoute(call *simCall) (route oracleRoute) {
	work := w.f.Work(call.class, call.name)
	for _, worker := range w.workers {
		if model := worker.model; !model.Draining() && !model.Collapsed() && worker.fault == faultNone {
			route.consider(w, worker, call.model, work)
		}
	}
	return route
}

// consider updates the route with a worker that is better than those considered before.
func (r *oracleRoute) consider(w *simWorld, worker *simWorker, model uint64, work time.Duration) {
	b := worker.model
	cp := b.copies[model]
	if cp == nil {
		ready := w.now.Add(b.loadWait(w.now, w.f.Load) + b.backlog(w.now)/2)
		if b.hasRoom(w.now) && (r.loadWorker == nil || ready.Before(r.loadReady)) {
			r.loadWorker, r.loadReady = worker, ready
		}
		return
	}
	if cp.ready.After(w.now) {
		if r.loaded.IsZero() || cp.ready.Before(r.loaded) {
			r.loaded = cp.ready
		}
		return
	}
	answer := w.now.Add(b.backlog(w.now) + work)
	if len(b.waiting) < b.cfg.Queue && (r.worker == nil || answer.Before(r.answer)) {
		r.worker, r.answer = worker, answer
	}
}

// orderOracleLoad orders a load of a call's model and returns when its copy is ready; the zero time
// if the order was rejected.
func (w *simWorld) orderOracleLoad(call *simCall, place *simWorker) (ready time.Time) {
	job := &Job{Model: call.model, Load: w.f.Load, Concurrency: w.f.Concurrency, Order: true, Data: func() {}}
	admission := place.model.Arrive(w.now, job)
	w.counts.countArrival(w, place, job, admission)
	if admission != Admitted {
		return ready
	}
	ready = place.model.copies[call.model].ready
	w.advance(place)
	return ready
}

// sendByOracle sends a call to the worker that the omniscient router chose.
func (s *simNode) sendByOracle(call *simCall, worker *simWorker, deadline time.Time) {
	w, over := s.w, false
	w.at(deadline, func() {
		if !over {
			over, call.end, call.ended = true, endGivenUp, w.now
		}
	})
	w.reach(s, worker, call.name+"."+strconv.Itoa(call.attempts), call,
		func(r balancer.Result, _ balancer.Warmth, _ int, _ []float64) {
			if over {
				return
			}
			over = true
			if r == balancer.OK {
				call.served, call.ended = true, w.now
				return
			}
			call.end = endRejected
			s.retry(call, 10*time.Millisecond, r == balancer.QueueFull)
		})
}

// backlog returns the remaining work of the running jobs plus that of the waiting calls, divided by
// the number of cores.
func (b *WorkerModel) backlog(now time.Time) (sum time.Duration) {
	for _, job := range b.running {
		sum += max(0, job.done.Sub(now))
	}
	for _, job := range b.waiting {
		if !job.Order {
			sum += job.Work
		}
	}
	return sum / time.Duration(max(1, b.cfg.Cores))
}

// loadWait estimates how long a load that starts now would take.
func (b *WorkerModel) loadWait(now time.Time, load time.Duration) time.Duration {
	loading := 0
	for _, loaded := range b.copies {
		if loaded.ready.After(now) {
			loading++
		}
	}
	return load * time.Duration(1+loading/max(1, b.cfg.MaxLoads))
}

// hasRoom reports whether one more copy fits without evicting one that was used within half of the
// keep-alive time.
func (b *WorkerModel) hasRoom(now time.Time) bool {
	if len(b.copies) < b.cfg.MaxCopies {
		return true
	}
	for _, loaded := range b.copies {
		if loaded.jobs == 0 && now.Sub(loaded.lastUsed) > b.cfg.IdleTimeout/2 {
			return true
		}
	}
	return false
}

// serviceSim runs a busy fleet without faults and counts. oracle: the omniscient router routes the
// calls.
func serviceSim(
	figures *Figures, dispatchers, workers, walk int, oracle bool, seed uint64,
) (*fleetResult, *serviceCounts, error) {
	w, err := fleetWorld(figures, dispatchers, workers, true, walk, seed)
	if err != nil {
		return nil, nil, err
	}
	w.counts, w.oracle = &serviceCounts{}, oracle
	end := fleetWarm + fleetFault + fleetWatch
	for at := time.Second; at <= end; at += time.Second {
		w.at(w.began.Add(at), func() { w.counts.sample(w) })
	}
	w.run(w.began.Add(end + fleetEnd))
	w.counts.close(w)
	return w.fleetResult(nil, w.workers, w.began), w.counts, nil
}
