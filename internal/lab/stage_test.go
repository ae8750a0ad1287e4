package lab

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// bubbleStart is the start time of the fake clock in every synctest bubble.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// action is one order of the module, or the end of a call, as the host carried it out.
type action struct {
	at   time.Duration // since the start of the run
	text string
}

func (a action) String() string { return fmt.Sprintf("%v %s", a.at, a.text) }

// kind returns the first word of the text.
func (a action) kind() string { k, _, _ := strings.Cut(a.text, " "); return k }

// scenario describes one scripted run of a host as dispatcher 0 of the world. The zero values of
// its fields give the main comparison.
type scenario struct {
	seed      uint64
	settings  func(*balancer.Settings)
	callCount int              // calls at dispatcher 0; 0: 240
	span      time.Duration    // in which they arrive; 0: 12 s
	noFaults  bool             // no faults
	script    func(*hostWorld) // schedules more events; nil: none

	// These force an intended difference.
	listAt time.Duration // when the list is first published
	// the real host's connections are established within the link delay, and calls are written only
	// after that
	handshake bool
	stall     time.Duration // how long the core's loop stalls at call 100

	// The comparison must detect each of these.
	offset       time.Duration // of the hollow host's clock
	lostEvent    string        // kind of event that is lost: "call", "list", "message" or, at the real host, "answer"
	ignoreCancel bool          // the hollow host ignores cancellations
	waitForever  bool          // the hollow host has no effective timeout of load orders
}

// hostWorld is a simulated world with the tested host as dispatcher 0.
type hostWorld struct {
	*simWorld
	scenario
	began   time.Time
	host    testedHost
	actions []action
	calls0  []*simCall // of dispatcher 0
	ends    [balancer.NumResults]int64
	// time since the start of the run at which each worker was last verified in dispatcher 0's list
	verified map[balancer.WorkerID]time.Duration
	lost     bool
}

// testedHost is dispatcher 0, real or hollow.
type testedHost interface {
	notify(u endpoints.Update)
	receive(from int, data string)
	arrive(c *simCall)
	configure(k balancer.Class, attempts int)
}

const (
	stageNodes, stageWorkers = 4, 6
	stageRate                = 20 // calls a second at each
	stageEnd                 = 8 * time.Second
	// notifyOffset delays the notification of each next dispatcher, so that no two dispatchers'
	// rounds fall on the same time: the result would depend on the order of goroutines.
	notifyOffset = 1234567 * time.Nanosecond
)

func (s *hostWorld) record(format string, args ...any) {
	s.actions = append(s.actions, action{s.now.Sub(s.began), fmt.Sprintf(format, args...)})
}

func (s *hostWorld) recordVerified(rows []endpoints.EndpointReport) {
	s.verified = map[balancer.WorkerID]time.Duration{}
	for _, r := range rows {
		s.verified[r.ID] = r.VerifiedAt.Sub(s.began)
	}
}

// drops reports whether this event is lost: the first of its kind in the second half of the span
// or, for messages, all of one second, as the loss of a single message may have no effect.
func (s *hostWorld) drops(kind string) bool {
	at := s.now.Sub(s.began)
	if s.lostEvent != kind || at < s.span/2 {
		return false
	}
	if kind == "message" {
		return at < s.span/2+time.Second
	}
	was := s.lost
	s.lost = true
	return !was
}

// peerNode is one of the other dispatchers, in virtual time in both arms; its messages pass through
// hostWorld.
type peerNode struct {
	*simNode
	s *hostWorld
}

func (p peerNode) SendPeerMessage(to int, data string) { p.s.deliver(p.n, to, data) }

// deliver delivers a message to one or all dispatchers; about 3% are lost, selected by a hash of
// sender, receiver and content.
func (s *hostWorld) deliver(from, to int, data string) {
	for n := range s.nodes {
		h := fnv.New32a()
		fmt.Fprint(h, from, n, data)
		if n == from || to >= 0 && n != to || h.Sum32()%32 == 0 {
			continue
		}
		s.after(peerDelay+time.Duration(from*stageNodes+n), func() {
			if n > 0 {
				s.nodes[n].d.HandlePeerMessage(s.now.UnixNano(), from, data)
			} else if !s.drops("message") {
				s.host.receive(from, data)
			}
		})
	}
}

// newHostWorld builds the world: six small workers, dispatcher 0 and three other dispatchers.
func newHostWorld(t *testing.T, p scenario, start time.Time) *hostWorld {
	t.Helper()
	if p.callCount == 0 {
		p.callCount = 240
	}
	if p.span == 0 {
		p.span = 12 * time.Second
	}
	figures := fleetFigures()
	figures.Worker.SlowStart, figures.Worker.IdleTimeout = 4*time.Second, 3*time.Second
	w := &simWorld{
		f: figures, byID: map[balancer.WorkerID]*simWorker{}, popular: newZipf(40, 0.4),
		simGossip: simGossip{messages: true, lossRNG: rand.New(rand.NewPCG(p.seed, 3))},
		load:      Load{Rate: stageRate, Models: 40, Zipf: 0.4},
	}
	w.now, w.began = start, start
	s := &hostWorld{simWorld: w, scenario: p, began: start}
	for i := range stageWorkers {
		worker := w.add(i, start.Add(-time.Hour))
		worker.zone = i % 2
		w.listed = append(w.listed, endpoints.Endpoint{
			ID: worker.id, Zone: worker.zone, State: balancer.Active, Weight: 2,
			Start: start.Add(-time.Hour),
		})
	}
	w.nodes = make([]*simNode, stageNodes)
	for n := range w.nodes {
		var err error
		w.nodes[n], err = w.node(n, p.seed, false)
		require.NoError(t, err)
		if n > 0 {
			require.NoError(t, w.nodes[n].initBalancer(s.settingsOf(n), s.seedOf(n), peerNode{w.nodes[n], s}))
		}
	}
	return s
}

func (s *hostWorld) settingsOf(n int) balancer.Settings {
	set := s.f.settings(n, stageNodes)
	set.Gossip, set.PeerPrice = true, peerPrice
	set.LoadQuotaBase = 1e6 // the core's own quota check must not withhold orders: it has a test of its own
	if s.settings != nil {
		s.settings(&set)
	}
	return set
}

func (s *hostWorld) seedOf(n int) uint64 { return s.seed ^ uint64(n)*0x9e3779b9 }

// notifyList publishes the list to all dispatchers: completely, or only the given workers.
func (s *hostWorld) notifyList(which ...int) {
	s.cursor++
	u := endpoints.Update{Full: len(which) == 0, Cursor: s.cursor}
	for i, endpoint := range s.listed {
		if u.Full || slices.Contains(which, i) {
			u.Endpoints = append(u.Endpoints, endpoint)
		}
	}
	for i, node := range s.nodes[1:] {
		s.after(time.Duration(i+1)*notifyOffset, func() {
			node.list.HandleUpdate(s.now, u)
			node.flush()
		})
	}
	if s.cursor == 1 || !s.drops("list") {
		s.host.notify(u)
	}
}

// schedule schedules the events of the run: the first list, calls at all dispatchers, the script
// and the faults.
func (s *hostWorld) schedule() {
	if s.listAt == 0 {
		s.notifyList()
	} else {
		s.after(s.listAt, func() { s.notifyList() })
	}
	rng := rand.New(rand.NewPCG(s.seed, 0xca11))
	for n := range s.nodes {
		if n > 0 {
			s.arrivals(n, rand.New(rand.NewPCG(s.seed, uint64(n)<<8)), 0, s.began.Add(s.span))
		}
	}
	at := time.Duration(0)
	for i := range s.callCount {
		at += time.Duration(rng.ExpFloat64() * float64(s.span) / float64(s.callCount))
		u, class := rng.Float64(), 0
		for u -= s.f.Classes[0].Share; u >= 0 && class < len(s.f.Classes)-1; {
			class++
			u -= s.f.Classes[class].Share
		}
		call := &simCall{
			class: class, model: s.load.model(s.popular.draw(rng.Float64()), s.began),
			intended: s.began.Add(at), name: fmt.Sprintf("0.%03d", i),
		}
		s.calls0 = append(s.calls0, call)
		s.at(call.intended, func() {
			if !s.drops("call") {
				s.host.arrive(call)
			}
		})
	}
	if s.script != nil {
		s.script(s)
	}
	if s.noFaults {
		return
	}
	odd := func(part float64) time.Time { // random offset, so that no two events have the same time
		return s.began.Add(time.Duration(part*float64(s.span)) + time.Duration(rng.IntN(1e6)))
	}
	s.at(odd(0.15), func() { s.workers[1].failing = true })
	s.at(odd(0.25), func() { s.workers[1].failing = false })
	s.at(odd(0.30), func() { s.answerLoss = 0.05 })
	s.at(odd(0.40), func() { s.answerLoss = 0 })
	s.at(odd(0.42), func() { s.workers[2].fault = faultVanishes })
	s.at(odd(0.48), func() { s.workers[2].fault = faultNone })
	s.at(odd(0.50), func() { s.workers[3].fault = faultRefuses })
	s.at(odd(0.55), func() { s.workers[3].fault = faultCutOff })
	s.at(odd(0.60), func() { s.workers[3].fault = faultNone })
	s.at(odd(0.62), func() { // the worker drains first, and dispatchers are notified late
		s.workers[4].model.Drain()
	})
	s.at(odd(0.66), func() {
		s.workers[4].drained = s.now
		s.listed[4].State = balancer.Draining
		s.notifyList(4)
	})
	s.at(odd(0.70), func() { // the worker is restarted
		s.workers[4].model, s.workers[4].drained = NewWorkerModel(s.f.Worker, s.now), time.Time{}
		s.listed[4].State, s.listed[4].Start = balancer.Active, s.now
		s.notifyList(4)
	})
	s.at(odd(0.75), func() { s.listed[0].Weight = 1; s.notifyList(0) })
	s.at(odd(0.80), func() { s.listed[5].State = balancer.Removed; s.notifyList(5) })
	s.at(odd(0.82), func() { // a latency objective shorter than all others shortens all rounds
		s.host.configure(balancer.Class{
			LatencyObjective: int64(300 * time.Millisecond),
			ClientTimeout:    int64(5 * time.Second), PriorityWeight: 1, Idempotency: balancer.Idempotent,
		}, 3)
	})
	s.at(odd(0.85), func() { s.listed[5].State = balancer.Active; s.notifyList() })
}
