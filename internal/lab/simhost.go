package lab

import (
	"time"

	"oakthread/balancer"
)

// SendAttempt and the other exported methods implement balancer.Host.
func (s *simNode) SendAttempt(id string, w balancer.WorkerID, until int64) {
	s.meter.pause()
	defer s.meter.resume()
	o := s.open[id]
	if o == nil {
		return
	}
	o.call.awaitedLoad = o.call.awaitedLoad || o.attempts == 0 && s.w.now.After(o.began)
	n := o.attempts
	o.attempts++
	s.w.addTally(&s.w.sentTally)
	if !s.members[w].active { // not active: fails without a connection
		s.w.after(0, func() {
			if s.dead {
				return
			}
			s.ends[balancer.ConnectFailed]++
			s.meter.begin(s.n, partChoice)
			s.d.HandleAttemptResult(s.w.now.UnixNano(),
				balancer.AttemptResult{
					ID: id, Attempt: n, Worker: w, Result: balancer.ConnectFailed,
					Finished: s.open[id] != o,
				})
			s.meter.end()
		})
		return
	}
	fl := &simAttempt{s: s, key: simKey{id, n}, worker: w, sent: s.w.now, open: o}
	end := o.deadline
	if t := time.Unix(0, until); until > 0 && t.Before(end) {
		end = t
	}
	s.w.at(end, fl.timeout)
	fl.send(func(x *simWorker) {
		s.w.reach(s, x, id, o.call, func(r balancer.Result, warm balancer.Warmth, crowd int, rep []float64) {
			fl.complete(r, warm, crowd, 0, rep)
		})
	})
}

// CancelAttempt stops waiting for an attempt; the work at the worker goes on.
func (s *simNode) CancelAttempt(id string, attempt int) {
	s.meter.pause()
	defer s.meter.resume()
	if fl := s.attempts[simKey{id, attempt}]; fl != nil {
		fl.abort(balancer.Cancelled)
	}
}

// Reject ends a call; its client retries after wait, in nanoseconds.
func (s *simNode) Reject(id string, wait int64) {
	if sent := s.open[id]; sent != nil {
		s.end(id, sent, false)
		sent.call.end = sent.unservedEnd()
		if wait <= 0 {
			wait = int64(200 * time.Millisecond)
		}
		s.w.after(0, func() { s.retry(sent.call, time.Duration(wait), true) })
	}
}

func (s *simNode) Fail(id string) {
	if sent := s.open[id]; sent != nil {
		s.end(id, sent, false)
		sent.call.end = endGivenUp
		s.w.after(0, func() { s.retry(sent.call, 200*time.Millisecond, false) })
	}
}

// OrderLoad sends a load order to a worker.
func (s *simNode) OrderLoad(id balancer.WorkerID, function balancer.FuncID, count int) {
	s.meter.pause()
	defer s.meter.resume()
	if m, known := s.members[id]; !known || count > 0 && !m.active {
		s.w.after(0, func() {
			if !s.dead {
				s.meter.begin(s.n, partChoice)
				s.d.HandleLoadResult(s.w.now.UnixNano(), id, function, 0, balancer.QueueFull)
				s.meter.end()
			}
		})
		return
	}
	s.ordersSent++
	fl := &simAttempt{s: s, key: simKey{n: s.ordersSent}, worker: id, sent: s.w.now, fn: function}
	if s.orders = append(s.orders, fl); len(s.orders) == 1 {
		s.w.after(s.limit, s.expireOrders)
	}
	fl.send(func(x *simWorker) {
		s.w.order(x, function, func(copies int, r balancer.Result) { fl.complete(r, 0, 0, copies, nil) })
	})
}

// expireOrders times out the load orders whose time limit has passed.
func (s *simNode) expireOrders() {
	for ; len(s.orders) > 0; s.orders = s.orders[1:] {
		fl := s.orders[0]
		if due := fl.sent.Add(s.limit); !fl.ended && due.After(s.w.now) {
			s.w.at(due, s.expireOrders)
			return
		}
		fl.timeout()
	}
	s.orders = nil
}

// order delivers a load order to a worker, and its answer to answered.
func (w *simWorld) order(worker *simWorker, function balancer.FuncID, answered func(copies int, r balancer.Result)) {
	job := &Job{Model: uint64(function), Load: w.f.Load, Concurrency: w.f.Concurrency, Order: true}
	job.Data = func() { w.after(simLinkDelay, func() { answered(1, balancer.OK) }) }
	admission := worker.model.Arrive(w.now, job)
	if w.counts.countArrival(w, worker, job, admission); admission != Admitted {
		w.after(simLinkDelay, func() { answered(0, balancer.QueueFull) })
		return
	}
	w.hollow.countLoad(job)
	w.advance(worker)
}

func (s *simNode) OrderUnload(id balancer.WorkerID, function balancer.FuncID) {
	s.meter.pause()
	defer s.meter.resume()
	if _, known := s.members[id]; known {
		s.w.unload(s, s.w.byID[id], function)
	}
}

// unload delivers an unload order to a worker if the link to it works.
func (w *simWorld) unload(node *simNode, worker *simWorker, function balancer.FuncID) {
	if written, _ := w.connect(node, worker); written && worker.fault != faultVanishes {
		w.after(simLinkDelay, func() { worker.model.Unload(uint64(function)) })
	}
}

func (s *simNode) HealthCheck(id balancer.WorkerID) {
	s.w.after(2*simLinkDelay,
		func() { s.d.HandleHealthCheck(s.w.now.UnixNano(), id, balancer.OK, int64(2*simLinkDelay), nil) })
}
func (s *simNode) SubscribeEndpoints() {}
func (s *simNode) Log(string)          {}

// SendPeerMessage sends a message to one dispatcher, or to all others if to is negative; some are
// lost. A message to all is one event.
func (s *simNode) SendPeerMessage(to int, data string) {
	s.meter.pause()
	defer s.meter.resume()
	if len(data) > peerBytes {
		s.w.oversize++
		return
	}
	first, last := max(0, to), to
	if to < 0 {
		last = len(s.w.nodes) - 1
	}
	note := s.w.hollow.countSent(s, to, data)
	var receivers []*simNode
	for n := first; n <= last; n++ {
		if n == s.n || s.w.lossRNG.Float64() < s.w.lossRate || s.w.allLost ||
			float64(n) < s.w.unreachedPart*float64(len(s.w.nodes)) || s.w.hollow.partitioned(s.n, n) {
			continue
		}
		s.w.deliveredBytes += len(data)
		receivers = append(receivers, s.w.nodes[n])
	}
	if len(receivers) == 0 {
		return
	}
	s.w.after(peerDelay, func() {
		for _, node := range receivers {
			if node.dead {
				continue
			}
			s.w.hollow.countReceived(node.n, data, note)
			s.meter.begin(node.n, partRead)
			node.d.HandlePeerMessage(s.w.now.UnixNano(), s.n, data)
			s.meter.end()
		}
	})
}

func (s *simNode) CountTowardLoadQuota(int64) {}

// SetTimer calls the module back after a delay.
func (s *simNode) SetTimer(delay, ref int64) {
	s.meter.pause()
	defer s.meter.resume()
	s.w.after(time.Duration(delay), func() {
		if !s.dead {
			s.meter.begin(s.n, partUpkeep)
			s.d.HandleTimer(s.w.now.UnixNano(), ref)
			s.meter.end()
		}
	})
}
