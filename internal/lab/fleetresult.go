package lab

import (
	"time"

	"oakthread/balancer"
	"oakthread/outlier"
)

// fleetResult is what one run came to.
type fleetResult struct {
	twice, late, fallen, open int
	unwarned                  int // workers that collapsed before anyone was notified that they were warming up
	unserved, service         float64
	later                     float64 // the same as service, of calls meant for the last twelve seconds
	warmingShare              float64 // calls per second that new workers served, as part of the others'
	bytes                     float64 // of messages delivered, a call
	oversize                  int
	unreached                 float64 // attempts at workers that could not be reached, per call
	spoilt                    int     // calls that the failing worker spoilt
	// seconds until nine in ten dispatchers avoid it; the complete fault where they never do
	avoided     float64
	back        float64 // seconds from the end of a split until attempts a served call were as before
	attempts    float64 // attempts a served call in the four seconds after the end of a split
	servedRatio float64 // calls served a second in these, of those in the three seconds before the split
}

// avoiding counts the dispatchers that avoid a worker.
func (w *simWorld) avoiding(id balancer.WorkerID) (n int) {
	for _, node := range w.nodes {
		for _, v := range node.d.WorkerHealth(w.now.UnixNano()) {
			if v.Worker == id && v.Status != outlier.StatusHealthy && v.Status != outlier.StatusSuspect {
				n++
			}
		}
	}
	return n
}

// fleetResult returns the result of a run; fresh workers are compared with those that stayed.
func (w *simWorld) fleetResult(fresh, stayed []*simWorker, began time.Time) *fleetResult {
	calls := float64(max(1, len(w.calls)))
	result := &fleetResult{
		twice: w.twice, late: w.late, oversize: w.oversize, bytes: float64(w.delivered) / calls,
		unreached: float64(w.unreached) / calls,
	}
	for _, node := range w.nodes {
		result.open += len(node.open)
	}
	from := began.Add(fleetWarm + fleetFault)
	share := func(xs []*simWorker) (n float64) {
		for _, worker := range xs {
			for _, t := range worker.took {
				if t.After(from) {
					n++
				}
			}
		}
		return n / float64(max(1, len(xs)))
	}
	for _, worker := range w.workers {
		if worker.unwarned {
			result.unwarned++
		} else if worker.model.Fallen() {
			result.fallen++
		}
	}
	result.spoilt, result.avoided = w.workers[0].spoilt, w.avoided
	result.back = w.backAfter(fleetWarm+splitFor, fleetWarm)
	sends, goods := w.tallied(fleetWarm+splitFor, fleetWarm+splitFor+4*time.Second)
	_, before := w.tallied(fleetWarm-3*time.Second, fleetWarm)
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

// callValue returns the value of a call: its priority weight within the latency objective, a fifth of
// it later, nothing unserved.
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

// tallied counts the attempts begun and the calls served from one moment of the run to another.
func (w *simWorld) tallied(from, until time.Duration) (sends, goods int) {
	for i := int(from / (100 * time.Millisecond)); i < int(until/(100*time.Millisecond)) && i < min(len(w.sends),
		len(w.goods)); i++ {
		sends, goods = sends+w.sends[i], goods+w.goods[i]
	}
	return sends, goods
}

// backAfter is how long after a moment attempts a served call are as they were in the three seconds before another one.
func (w *simWorld) backAfter(end, calm time.Duration) float64 {
	ratio := func(from, until time.Duration) float64 {
		a, b := w.tallied(from, until)
		return float64(a) / float64(max(1, b))
	}
	before := ratio(calm-3*time.Second, calm)
	for at := end; at+backLook <= fleetWarm+fleetFault+fleetWatch; at += 100 * time.Millisecond {
		if ratio(at, at+backLook) <= backWithin*before {
			return (at - end).Seconds()
		}
	}
	return notBack.Seconds()
}
