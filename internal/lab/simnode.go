package lab

import (
	"strconv"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// simNode is one dispatcher: the real endpoint list and the real balancer, with a host that carries
// out the balancer's orders as the core and the platform's client do (core.go,
// internal/platform/executorpool.go).
type simNode struct {
	w             *simWorld
	n             int
	list          *endpoints.List
	d             *balancer.Balancer
	dead          bool
	open          map[string]*sentCall
	attempts      map[simKey]*simAttempt
	orders        []*simAttempt // load orders in the order of sending; only the first has a timer
	ordersSent    int           // number of load orders so far
	limit         time.Duration // of a load order
	members       map[balancer.WorkerID]simMember
	drainNotified map[balancer.WorkerID]time.Time // first rejection by a draining worker
	ends          [balancer.NumResults]int64      // of attempts, as oakthread.Counters has them
	meter         *meter                          // nil: nothing is measured
}

// simMember is the host's record of a worker in the list.
type simMember struct {
	active bool
	start  int64
}

// sentCall is a call that a dispatcher has accepted and not ended.
type sentCall struct {
	call       *simCall
	began      time.Time
	attempts   int
	rejections int // attempts that a full worker rejected
	deadline   time.Time
}

// settings returns the settings of a dispatcher in the experiments with real processes, but without
// gossip.
func (f *Figures) settings(n, dispatchers int) balancer.Settings {
	s := balancer.Settings{
		DispatcherIndex: n, Dispatchers: dispatchers, ClockResolution: int64(4 * time.Millisecond), MaxAttempts: 5,
		Hedging: true, Cancellation: true,
		SendsRetryAfter: true, MaxRetryAfter: int64(1500 * time.Millisecond), DrainGrace: int64(time.Second),
		SlowStartWindow: int64(f.Worker.SlowStart), OverloadWindow: int64(f.Worker.CollapseWindow),
		OverloadFactor: f.Worker.OverloadFactor, SlowStartCapacity: f.Worker.StartCapacity,
		LoadOrders: true, LoadsOnMiss: true, ReportsWarmth: true, ReportsConcurrency: true,
		KeepAlive: int64(f.Worker.IdleTimeout), LoadQuotaWindow: int64(5 * time.Second),
		LoadOrderTimeout: int64(10 * time.Second), LoadQuotaBase: 6, LoadQuotaRatio: 0.3,
		QueueField: 1, WastePrice: 0.2, OriginPrice: 0.03, MemoryPrice: 0.05,
	}
	for _, class := range f.Classes {
		k := balancer.Class{
			LatencyObjective: int64(class.LatencyObjective), ClientTimeout: int64(class.ClientTimeout),
			PriorityWeight: class.PriorityWeight, LatePriorityWeight: 0.2, Idempotency: balancer.Idempotent,
		}
		if class.NotIdempotent {
			k.Idempotency = balancer.NotIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// node creates dispatcher n. fresh: it treats a cached list as if it were new.
func (w *simWorld) node(n int, seed uint64, fresh bool) (*simNode, error) {
	s := &simNode{
		w: w, n: n, open: map[string]*sentCall{}, attempts: map[simKey]*simAttempt{},
		members: map[balancer.WorkerID]simMember{}, drainNotified: map[balancer.WorkerID]time.Time{},
	}
	if w.hollow != nil {
		s.meter = &w.hollow.meter
	}
	s.list = endpoints.New(endpoints.Config{
		Seed: seed + uint64(n), Dispatchers: len(w.nodes),
		MaxRetryAfter: 1500 * time.Millisecond, TrustCached: fresh,
	})
	set := w.f.settings(n, len(w.nodes))
	set.Gossip, set.PeerPrice, set.FullScanLimit = w.messages, w.price, w.fullScanLimit
	return s, s.initBalancer(set, seed^uint64(n)*0x9e3779b9, s)
}

// initBalancer creates the balancer; host is s, or a test's wrapper of it.
func (s *simNode) initBalancer(set balancer.Settings, seed uint64, host balancer.Host) (err error) {
	if s.limit = time.Duration(set.LoadOrderTimeout); s.limit <= 0 {
		s.limit = 10 * time.Second
	}
	s.d, err = balancer.New(s.w.now.UnixNano(), set, seed, host)
	return err
}

// flush carries out the actions of the endpoint list.
func (s *simNode) flush() {
	a := s.list.TakeActions()
	for _, p := range a.Publications {
		var es []balancer.Endpoint
		old := s.members
		if p.Kind != balancer.EndpointsDelta {
			s.members = make(map[balancer.WorkerID]simMember, len(p.Endpoints))
		}
		for _, endpoint := range p.Endpoints {
			m := simMember{endpoint.State == balancer.Active, endpoint.Start.UnixNano()}
			if was, known := old[endpoint.ID]; !m.active || known && was.start != m.start {
				s.revoke(endpoint.ID)
			}
			if s.members[endpoint.ID] = m; endpoint.State == balancer.Removed {
				delete(s.members, endpoint.ID)
			}
			es = append(es, balancer.Endpoint{
				Worker: endpoint.ID, Zone: endpoint.Zone, Kind: endpoint.Kind, Cell: endpoint.Cell,
				State:  endpoint.State,
				Weight: endpoint.Weight, Start: endpoint.Start.UnixNano(),
			})
		}
		for _, fl := range s.unsentAttempts() {
			if _, known := s.members[fl.worker]; !known {
				fl.abort(balancer.NotSent)
			}
		}
		s.meter.begin(s.n, partList)
		s.d.UpdateEndpoints(s.w.now.UnixNano(), p.Kind, es)
		s.meter.end()
	}
	for _, endpoint := range a.HealthChecks {
		s.probe(endpoint.ID)
	}
}

// probe health-checks a worker and reports the result to the list.
func (s *simNode) probe(id balancer.WorkerID) {
	worker := s.w.byID[id]
	sign, after := endpoints.Answered, 2*simLinkDelay
	switch worker.fault {
	case faultRefuses, faultAddressReused:
		sign = endpoints.ConnectionRefused
	case faultVanishes, faultCutOff:
		sign, after = endpoints.TimedOut, simConnectTimeout
	}
	if !s.w.reaches(s, worker) {
		sign, after = endpoints.TimedOut, simConnectTimeout
	}
	s.w.after(after, func() {
		if s.dead {
			return
		}
		if sign == endpoints.Answered && worker.model.Draining() {
			sign = endpoints.ReportedDraining
		} else if _, util := worker.model.Report(s.w.now); sign == endpoints.Answered && util > 0.9 {
			sign = endpoints.AnsweredLate
		}
		s.list.HandleHealthCheck(s.w.now, id, sign)
		s.flush()
	})
}

// tick runs the periodic work of the list, often for the first 3 s after from and less often later.
func (s *simNode) tick(from time.Time) {
	if s.dead {
		return
	}
	s.list.Tick(s.w.now)
	s.flush()
	gap := simTick
	if s.w.now.Sub(from) > 3*time.Second {
		gap = simIdleTick
	}
	s.w.after(gap, func() { s.tick(from) })
}

// arrive handles an attempt of a client.
func (s *simNode) arrive(c *simCall) {
	if s.w.oracle {
		s.routeByOracle(c)
		return
	}
	if s.dead || len(s.members) == 0 {
		s.retry(c, 200*time.Millisecond, true)
		return
	}
	if wait, ok := s.list.Admit(s.w.now); !ok {
		s.retry(c, wait, true)
		return
	}
	id := c.name + "." + strconv.Itoa(c.attempts)
	deadline := c.intended.Add(s.w.f.Classes[c.class].ClientTimeout - 200*time.Millisecond)
	s.open[id] = &sentCall{call: c, began: s.w.now, deadline: deadline}
	s.meter.begin(s.n, partChoice)
	s.d.HandleRequest(s.w.now.UnixNano(), balancer.Request{
		ID: id, Class: c.class, Tenant: -1, Func: balancer.FuncID(c.model), Deadline: deadline.UnixNano(),
		MemoryMB: 4000, Concurrency: s.w.f.Concurrency, LoadTime: int64(s.w.f.Load),
	})
	s.meter.end()
}

// retry lets the client retry after wait, if that is harmless or the class is idempotent, and if
// retries and time are left.
func (s *simNode) retry(call *simCall, wait time.Duration, harmless bool) {
	class := s.w.f.Classes[call.class]
	call.attempts++
	if call.attempts > s.w.load.Retries || class.NotIdempotent && !harmless ||
		s.w.now.Add(wait+class.Work).After(call.intended.Add(class.ClientTimeout)) {
		call.ended = s.w.now
		s.w.hollow.callEnded(call)
		return
	}
	s.w.after(wait, func() { s.w.dispatcherFor(s.n).arrive(call) })
}

// end ends a call and aborts those of its attempts of which nothing has been written.
func (s *simNode) end(id string, sent *sentCall, served bool) {
	delete(s.open, id)
	for n := range sent.attempts {
		if fl := s.attempts[simKey{id, n}]; fl != nil && !fl.written {
			fl.abort(balancer.NotSent)
		}
	}
	if served {
		sent.call.served, sent.call.ended = true, s.w.now
		s.w.hollow.callEnded(sent.call)
	}
}
