package lab

import (
	"cmp"
	"slices"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// unsentAttempts returns the attempts of which nothing has been written, in a fixed order.
func (s *simNode) unsentAttempts() (out []*simAttempt) {
	for _, fl := range s.attempts {
		if !fl.written && !fl.ended {
			out = append(out, fl)
		}
	}
	slices.SortFunc(out, func(a, b *simAttempt) int {
		return cmp.Or(cmp.Compare(a.key.id, b.key.id), cmp.Compare(a.key.n, b.key.n))
	})
	return out
}

// revoke ends the attempts to a worker that must get no new calls, as far as nothing of them has
// been written.
func (s *simNode) revoke(worker balancer.WorkerID) {
	for _, fl := range s.unsentAttempts() {
		if fl.worker == worker {
			fl.abort(balancer.NotSent)
		}
	}
}

// abort ends an attempt on the dispatcher's side. The result is reported at the same simulated
// time, but not within the current event.
func (fl *simAttempt) abort(r balancer.Result) {
	if fl.ended {
		return
	}
	if fl.ended = true; !fl.written {
		r = balancer.NotSent
	}
	fl.s.w.after(0, func() { fl.finish(r, 0, 0, 0, nil) })
}

// complete ends an attempt with the worker's answer, or because it is known that none will come.
func (fl *simAttempt) complete(r balancer.Result, warm balancer.Warmth, crowd, copies int, rep []float64) {
	if !fl.ended {
		fl.ended = true
		fl.finish(r, warm, crowd, copies, rep)
	}
}

func (fl *simAttempt) timeout() {
	r := balancer.Timeout
	if !fl.written {
		r = balancer.NotSent
	}
	fl.complete(r, 0, 0, 0, nil)
}

// finish reports the end of an attempt or load order to the list and the module.
func (fl *simAttempt) finish(r balancer.Result, warm balancer.Warmth, crowd, copies int, rep []float64) {
	node, now := fl.s, fl.s.w.now
	if node.dead {
		return
	}
	delete(node.attempts, fl.key)
	if fl.open != nil && r == balancer.QueueFull {
		fl.open.rejections++
	}
	if sent := fl.open; sent != nil && r == balancer.OK && node.open[fl.key.id] == sent {
		node.end(fl.key.id, sent, true)
		node.w.addTally(&node.w.servedTally)
	}
	// a load may outlast its time limit, so its timeout says nothing about the worker
	sign, informative := endpointcache.ObservationOf(r, false)
	if informative && (fl.open != nil || r != balancer.Timeout) {
		if fl.open != nil && sign == endpoints.Answered && warm == balancer.WarmHit &&
			now.Sub(fl.sent) > node.w.f.Classes[fl.open.call.class].LatencyObjective/2 {
			sign = endpoints.AnsweredLate
		}
		node.list.HandleObservation(now, fl.worker, sign)
		node.flush()
	}
	node.meter.begin(node.n, partChoice)
	if fl.open == nil {
		node.d.HandleLoadResult(now.UnixNano(), fl.worker, fl.fn, copies, r)
	} else {
		node.ends[r]++
		node.d.HandleAttemptResult(now.UnixNano(), balancer.AttemptResult{
			ID: fl.key.id, Attempt: fl.key.n, Worker: fl.worker, Result: r, Finished: node.open[fl.key.id] == nil,
			Warmth: warm, ConcurrentRequests: crowd, RTT: int64(now.Sub(fl.sent)), Report: rep,
		})
	}
	node.meter.end()
}

// connect returns whether anything of a request to a worker is written and, if not, after what time
// the connection is known to have failed. A request to a worker that vanished is written, as its
// connection is still open, but never answered.
func (w *simWorld) connect(node *simNode, worker *simWorker) (written bool, failed time.Duration) {
	switch {
	case worker.fault == faultRefuses || worker.fault == faultAddressReused:
		return false, 2 * simLinkDelay
	case worker.fault != faultVanishes && !w.reaches(node, worker):
		return false, simConnectTimeout
	}
	return true, 0
}

// send starts an attempt; arrive is called when it reaches the worker.
func (fl *simAttempt) send(arrive func(worker *simWorker)) {
	node, worker := fl.s, fl.s.w.byID[fl.worker]
	node.attempts[fl.key] = fl
	written, failed := node.w.connect(node, worker)
	fl.written = written
	switch {
	case !written:
		if fl.open != nil && failed == simConnectTimeout {
			node.w.unreached++
		}
		node.w.after(failed, func() { fl.complete(balancer.ConnectFailed, 0, 0, 0, nil) })
	case worker.fault != faultVanishes:
		node.w.after(simLinkDelay, func() { arrive(worker) })
	}
}

// simKey identifies an attempt or a load order of a dispatcher.
type simKey struct {
	id string // empty: a load order
	n  int
}

// simAttempt is an attempt or a load order in flight. The first of answer, timeout and cancellation
// ends it; work that the worker has started goes on there. If nothing was written, the end proves
// that the attempt never ran.
type simAttempt struct {
	s              *simNode
	key            simKey
	worker         balancer.WorkerID
	sent           time.Time
	written, ended bool
	open           *sentCall       // nil: a load order
	fn             balancer.FuncID // of a load order
}
