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

// bubbleStart is where the clock of every bubble begins, as package synctest has it.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// action is one order of the module, or the end of a call, as the host carried it out.
type action struct {
	at   time.Duration // since the start of the run
	text string
}

func (a action) String() string { return fmt.Sprintf("%v %s", a.at, a.text) }

// kind is the first word.
func (a action) kind() string { k, _, _ := strings.Cut(a.text, " "); return k }

// play is one scripted run before a host: dispatcher 0 of the world. The zero values of its
// switches are the main comparison.
type play struct {
	seed     uint64
	settings func(*balancer.Settings)
	asked    int           // calls at dispatcher 0; 0: 240
	span     time.Duration // of their arrivals; 0: 12 s
	steady   bool          // no faults
	script   func(*stage)  // more events; nil: none

	// What forces a difference that is by design.
	listAt time.Duration // when the list is first published
	// the real host's connections come up within the link delay, and only then may a call be
	// written
	handshake bool
	stall     time.Duration // the core's loop stands still for so long, at its 100th call

	// What a comparison must find.
	offset time.Duration // of the hollow host's clock
	lose   string        // an event that does not come: "call", "list" or "message", and at the real host "answer"
	keeps  bool          // the hollow host lets what is called off go on
	waits  bool          // it waits for orders for ever
}

// stage is a world with the host in dispatcher 0's place.
type stage struct {
	*simWorld
	play
	began   time.Time
	host    stageHost
	actions []action
	calls0  []*simCall // of dispatcher 0
	ends    [balancer.NumResults]int64
	// when each executor last answered, as dispatcher 0's list has it, since the start of the run
	proved map[balancer.WorkerID]time.Duration
	lost   bool
}

// stageHost is dispatcher 0, real or hollow.
type stageHost interface {
	notify(u endpoints.Update)
	receive(from int, data string)
	arrive(c *simCall)
	configure(k balancer.Class, attempts int)
}

const (
	stageNodes, stageWorkers = 4, 6
	stageRate                = 20 // calls a second at each
	stageEnd                 = 8 * time.Second
	// stageApart is by how much later each next dispatcher is notified of the list, so that no two
	// dispatchers' rounds fall on one moment: what the world does then would depend on the order of
	// goroutines.
	stageApart = 1234567 * time.Nanosecond
)

func (s *stage) did(format string, args ...any) {
	s.actions = append(s.actions, action{s.now.Sub(s.began), fmt.Sprintf(format, args...)})
}

func (s *stage) prove(rows []endpoints.EndpointReport) {
	s.proved = map[balancer.WorkerID]time.Duration{}
	for _, r := range rows {
		s.proved[r.ID] = r.VerifiedAt.Sub(s.began)
	}
}

// loses reports whether this event is the one that is lost: the first of its kind in the second
// half of the calls' span; of messages, each of which alone may change nothing, all of one second.
func (s *stage) loses(kind string) bool {
	at := s.now.Sub(s.began)
	if s.lose != kind || at < s.span/2 {
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
// the stage.
type peerNode struct {
	*simNode
	s *stage
}

func (p peerNode) SendPeerMessage(to int, data string) { p.s.carry(p.n, to, data) }

// carry takes a message to one or all; about three in a hundred are lost, which ones follows from what they say.
func (s *stage) carry(from, to int, data string) {
	for n := range s.nodes {
		h := fnv.New32a()
		fmt.Fprint(h, from, n, data)
		if n == from || to >= 0 && n != to || h.Sum32()%32 == 0 {
			continue
		}
		s.after(peerDelay+time.Duration(from*stageNodes+n), func() {
			if n > 0 {
				s.nodes[n].d.HandlePeerMessage(s.now.UnixNano(), from, data)
			} else if !s.loses("message") {
				s.host.receive(from, data)
			}
		})
	}
}

// newStage lays out the world: six small workers, dispatcher 0 and three others, calls at all of
// them, and the faults.
func newStage(t *testing.T, p play, start time.Time) *stage {
	t.Helper()
	if p.asked == 0 {
		p.asked = 240
	}
	if p.span == 0 {
		p.span = 12 * time.Second
	}
	figures := fleetFigures()
	figures.Worker.Warm, figures.Worker.Keep = 4*time.Second, 3*time.Second
	w := &simWorld{
		f: figures, byID: map[balancer.WorkerID]*simWorker{}, popular: newZipf(40, 0.4),
		simGossip: simGossip{messages: true, lossy: rand.New(rand.NewPCG(p.seed, 3))},
		load:      Load{Rate: stageRate, Models: 40, Zipf: 0.4},
	}
	w.now, w.began = start, start
	s := &stage{simWorld: w, play: p, began: start}
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
			require.NoError(t, w.nodes[n].module(s.settingsOf(n), s.seedOf(n), peerNode{w.nodes[n], s}))
		}
	}
	return s
}

func (s *stage) settingsOf(n int) balancer.Settings {
	set := s.f.settings(n, stageNodes)
	set.Gossip, set.PeerPrice = true, peerPrice
	set.LoadQuotaBase = 1e6 // the core's second look at orders must not strike: it has a test of its own
	if s.settings != nil {
		s.settings(&set)
	}
	return set
}

func (s *stage) seedOf(n int) uint64 { return s.seed ^ uint64(n)*0x9e3779b9 }

// notifyList publishes the list to all dispatchers: completely, or only the given workers.
func (s *stage) notifyList(which ...int) {
	s.cursor++
	u := endpoints.Update{Full: len(which) == 0, Cursor: s.cursor}
	for i, endpoint := range s.listed {
		if u.Full || slices.Contains(which, i) {
			u.Endpoints = append(u.Endpoints, endpoint)
		}
	}
	for i, node := range s.nodes[1:] {
		s.after(time.Duration(i+1)*stageApart, func() {
			node.list.HandleUpdate(s.now, u)
			node.flush()
		})
	}
	if s.cursor == 1 || !s.loses("list") {
		s.host.notify(u)
	}
}

// lay puts the events in the queue: those of a host that stands.
func (s *stage) lay() {
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
	for i := range s.asked {
		at += time.Duration(rng.ExpFloat64() * float64(s.span) / float64(s.asked))
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
			if !s.loses("call") {
				s.host.arrive(call)
			}
		})
	}
	if s.script != nil {
		s.script(s)
	}
	if s.steady {
		return
	}
	odd := func(part float64) time.Time { // no two events of a run at one moment
		return s.began.Add(time.Duration(part*float64(s.span)) + time.Duration(rng.IntN(1e6)))
	}
	s.at(odd(0.15), func() { s.workers[1].failing = true })
	s.at(odd(0.25), func() { s.workers[1].failing = false })
	s.at(odd(0.30), func() { s.unheard = 0.05 })
	s.at(odd(0.40), func() { s.unheard = 0 })
	s.at(odd(0.42), func() { s.workers[2].fate = vanishes })
	s.at(odd(0.48), func() { s.workers[2].fate = stays })
	s.at(odd(0.50), func() { s.workers[3].fate = refuses })
	s.at(odd(0.55), func() { s.workers[3].fate = cutOff })
	s.at(odd(0.60), func() { s.workers[3].fate = stays })
	s.at(odd(0.62), func() { // the worker drains first, and dispatchers are notified late
		s.workers[4].model.Drain()
	})
	s.at(odd(0.66), func() {
		s.workers[4].drained = s.now
		s.listed[4].State = balancer.Draining
		s.notifyList(4)
	})
	s.at(odd(0.70), func() { // it stands anew
		s.workers[4].model, s.workers[4].drained = NewWorkerModel(s.f.Worker, s.now), time.Time{}
		s.listed[4].State, s.listed[4].Start = balancer.Active, s.now
		s.notifyList(4)
	})
	s.at(odd(0.75), func() { s.listed[0].Weight = 1; s.notifyList(0) })
	s.at(odd(0.80), func() { s.listed[5].State = balancer.Removed; s.notifyList(5) })
	s.at(odd(0.82), func() { // a latency objective shorter than any: all rounds grow shorter
		s.host.configure(balancer.Class{
			LatencyObjective: int64(300 * time.Millisecond),
			ClientTimeout:    int64(5 * time.Second), PriorityWeight: 1, Idempotency: balancer.Idempotent,
		}, 3)
	})
	s.at(odd(0.85), func() { s.listed[5].State = balancer.Active; s.notifyList() })
}
