package lab

import (
	"time"

	"oakthread/balancer"
	"oakthread/outlier"
)

// fleetResult is the result of one run.
type fleetResult struct {
	twice, late, collapsed, openCalls int
	collapsedUnnotified               int // workers that collapsed before anyone was notified that they were warming up
	unserved, service                 float64
	later                             float64 // the same as service, of calls intended in the last twelve seconds
	warmingShare                      float64 // mean calls per new worker after the fault, over the mean of the others
	bytes                             float64 // of messages delivered, per call
	oversize                          int
	unreached                         float64 // attempts at workers that could not be reached, per call
	failedCalls                       int     // calls that failed at the failing worker
	// seconds until nine in ten dispatchers avoid it; the length of the fault if they never do
	detectionTime float64
	recoveryTime  float64 // seconds from the end of a split until attempts per served call are as before
	attempts      float64 // attempts per served call in the four seconds after the end of a split
	servedRatio   float64 // calls served per second in these, over those in the three seconds before the split
}

// countAvoiding counts the dispatchers that avoid a worker.
func (w *simWorld) countAvoiding(id balancer.WorkerID) (n int) {
	for _, node := range w.nodes {
		for _, v := range node.d.WorkerHealth(w.now.UnixNano()) {
			if v.Worker == id && v.Status != outlier.StatusHealthy && v.Status != outlier.StatusSuspect {
				n++
			}
		}
	}
	return n
}

// fleetResult returns the result of a run that began at began. For warmingShare, it compares the
// workers in fresh with those in stayed.
func (w *simWorld) fleetResult(fresh, stayed []*simWorker, began time.Time) *fleetResult {
	calls := float64(max(1, len(w.calls)))
	result := &fleetResult{
		twice: w.twice, late: w.late, oversize: w.oversize, bytes: float64(w.deliveredBytes) / calls,
		unreached: float64(w.unreached) / calls,
	}
	for _, node := range w.nodes {
		result.openCalls += len(node.open)
	}
	from := began.Add(fleetWarm + fleetFault)
	share := func(xs []*simWorker) (n float64) {
		for _, worker := range xs {
			for _, t := range worker.admittedAt {
				if t.After(from) {
					n++
				}
			}
		}
		return n / float64(max(1, len(xs)))
	}
	for _, worker := range w.workers {
		if worker.unnotified {
			result.collapsedUnnotified++
		} else if worker.model.Collapsed() {
			result.collapsed++
		}
	}
	result.failedCalls, result.detectionTime = w.workers[0].failedCalls, w.detectionTime
	result.recoveryTime = w.recoveryTime(fleetWarm+splitFor, fleetWarm)
	sends, goods := w.sumTallies(fleetWarm+splitFor, fleetWarm+splitFor+4*time.Second)
	_, before := w.sumTallies(fleetWarm-3*time.Second, fleetWarm)
	result.attempts, result.servedRatio = float64(sends)/float64(max(1,
		goods)), float64(goods)/4/(float64(max(1, before))/3)
	result.warmingShare = share(fresh) / max(1, share(stayed))
	unserved := 0
	for _, call := range w.calls {
		if !call.served {
			unserved++
		}
	}
	result.unserved, result.service, result.later = float64(unserved)/calls, w.weightedValue(began),
		w.weightedValue(from)
	return result
}

// weightedValue returns the value served, of that offered, by calls intended from a time on.
func (w *simWorld) weightedValue(from time.Time) float64 {
	asked, earned := 0.0, 0.0
	for _, call := range w.calls {
		if call.intended.Before(from) {
			continue
		}
		asked += w.f.Classes[call.class].PriorityWeight
		earned += w.callValue(call)
	}
	return earned / max(1, asked)
}

// callValue returns the value of a call: its priority weight within the latency objective, a fifth
// of it later, nothing unserved.
func (w *simWorld) callValue(call *simCall) float64 {
	class := w.f.Classes[call.class]
	switch {
	case !call.served:
		return 0
	case call.ended.Sub(call.intended) <= class.LatencyObjective:
		return class.PriorityWeight
	}
	return 0.2 * class.PriorityWeight
}

// sumTallies counts the attempts begun and the calls served from one moment of the run to another.
func (w *simWorld) sumTallies(from, until time.Duration) (sends, goods int) {
	for i := int(from / (100 * time.Millisecond)); i < int(until/(100*time.Millisecond)) && i < min(len(w.sentTally),
		len(w.servedTally)); i++ {
		sends, goods = sends+w.sentTally[i], goods+w.servedTally[i]
	}
	return sends, goods
}

// recoveryTime returns the seconds from end until attempts per served call are back within
// recoveryFactor of those in the three seconds before calm.
func (w *simWorld) recoveryTime(end, calm time.Duration) float64 {
	ratio := func(from, until time.Duration) float64 {
		a, b := w.sumTallies(from, until)
		return float64(a) / float64(max(1, b))
	}
	before := ratio(calm-3*time.Second, calm)
	for at := end; at+recoveryWindow <= fleetWarm+fleetFault+fleetWatch; at += 100 * time.Millisecond {
		if ratio(at, at+recoveryWindow) <= recoveryFactor*before {
			return (at - end).Seconds()
		}
	}
	return neverRecovered.Seconds()
}
