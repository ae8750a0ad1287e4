package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fleetSpec describes a simulated fleet whose discovery sends heartbeats but reports no changes.
type fleetSpec struct {
	seed                 uint64
	dispatchers, workers int
	callsPerSecond       float64 // per dispatcher
	lossRate             float64 // share of datagrams lost
	checkHangs           bool    // draining workers do not answer health checks; otherwise they reject them
	restartEvery         int64   // interval at which dispatchers restart in turn, with the initial list; 0: never
	outage               int64   // how long a third of the dispatchers receives no datagrams, from fleetPartitionAt
}

const (
	fleetStep            = 5 * ms
	fleetDrainAt         = 12_000 * ms
	fleetRunDuration     = 40_000 * ms
	fleetPartitionAt     = 10_000 * ms
	fleetDrainingWorkers = 2
	// fleetCallLimit is how long after its drain a worker may get calls: the drain counts as known
	// after 7 s, followed by a grace of half a second.
	fleetCallLimit = 7_500 * ms
)

// virtualFleet simulates the dispatchers and workers of a fleet in virtual time.
type virtualFleet struct {
	fleetSpec

	rng     *rand.Rand
	now     int64
	members []*fleetMember
	events  map[int64][]func()
	calls   int
	served  int
	checks  int
	late    []string
}

// fleetMember is one dispatcher and its host.
type fleetMember struct {
	fakeHost

	fleet     *virtualFleet
	index     int
	balancer  *Balancer
	timerAt   int64
	timer     int64
	startedAt int64
	attempts  map[string]int
	rejected  map[WorkerID]int64 // send time of the first call that each draining worker rejected
}

func newVirtualFleet(t *testing.T, spec fleetSpec) *virtualFleet {
	t.Helper()
	f := &virtualFleet{fleetSpec: spec, rng: rand.New(rand.NewPCG(spec.seed, 1)), events: map[int64][]func(){}}
	for i := range spec.dispatchers {
		member := &fleetMember{fleet: f, index: i, rejected: map[WorkerID]int64{}}
		f.members = append(f.members, member)
		member.start(t)
	}
	return f
}

// start starts or restarts the dispatcher.
func (m *fleetMember) start(t *testing.T) {
	t.Helper()
	f := m.fleet
	settings := leaseSettings()
	settings.Classes[0].LatencyObjective = 400 * ms
	settings.Dispatchers, settings.DispatcherIndex, settings.Gossip = f.dispatchers, m.index, true
	balancer, err := New(f.now, settings, f.seed^uint64(m.index)<<32^uint64(f.now), m)
	if err != nil {
		t.Fatal(err)
	}
	m.balancer, m.timerAt, m.startedAt, m.attempts = balancer, 0, f.now, map[string]int{}
	balancer.UpdateEndpoints(f.now, EndpointsSnapshot, activeEndpoints(f.workers))
	balancer.ConfirmEndpoints(f.now)
}

// after schedules a function after a delay, at the next step at the earliest.
func (f *virtualFleet) after(delay int64, do func()) {
	at := (f.now + max(delay, fleetStep)) / fleetStep * fleetStep
	f.events[at] = append(f.events[at], do)
}

func (f *virtualFleet) drains(worker WorkerID) bool {
	return worker <= fleetDrainingWorkers && f.now >= fleetDrainAt
}

func (m *fleetMember) SetTimer(delay, ref int64) { m.timerAt, m.timer = m.fleet.now+delay, ref }

func (m *fleetMember) Reject(string, int64) {}

func (m *fleetMember) Fail(string) {}

func (m *fleetMember) SendAttempt(id string, worker WorkerID, _ int64) {
	f, balancer := m.fleet, m.balancer
	attempt := m.attempts[id]
	m.attempts[id]++
	result := AttemptResult{ID: id, Attempt: attempt, Worker: worker, Result: OK, Finished: true, Warmth: WarmHit}
	took := 30 * ms
	if f.drains(worker) {
		result.Result, result.Finished, result.Warmth, took = QueueFull, false, WarmthUnknown, ms
		m.recordRejected(worker)
	} else {
		f.served++
	}
	f.after(took, func() {
		if m.balancer == balancer {
			balancer.HandleAttemptResult(f.now, result)
		}
	})
}

// recordRejected records a call to a draining worker. The call is late if it comes after
// fleetCallLimit, or after the grace that began with this dispatcher's first rejected call.
func (m *fleetMember) recordRejected(worker WorkerID) {
	f := m.fleet
	if m.rejected[worker] == 0 {
		m.rejected[worker] = f.now
	}
	sinceDrain, sinceRejected := f.now-fleetDrainAt, f.now-m.rejected[worker]
	if sinceDrain <= fleetCallLimit && sinceRejected <= leaseSettings().DrainGrace {
		return
	}
	const format = "dispatcher %d, up for %d ms, to %d, %d ms after its drain, %d ms after a rejection: %+v"
	f.late = append(f.late, fmt.Sprintf(format, m.index, (f.now-m.startedAt)/1e6, worker, sinceDrain/1e6,
		sinceRejected/1e6, m.balancer.endpoints.byID[worker].lease))
}

func (m *fleetMember) OrderLoad(worker WorkerID, function FuncID, n int) {
	f, balancer := m.fleet, m.balancer
	f.after(100*ms, func() {
		if m.balancer != balancer {
			return
		}
		if f.drains(worker) {
			balancer.HandleLoadResult(f.now, worker, function, 0, QueueFull)
			return
		}
		balancer.HandleLoadResult(f.now, worker, function, n, OK)
	})
}

func (m *fleetMember) HealthCheck(worker WorkerID) {
	f, balancer := m.fleet, m.balancer
	f.checks++
	result, took := OK, 2*ms
	switch {
	case f.drains(worker) && f.checkHangs:
		result, took = Timeout, 250*ms
	case f.drains(worker):
		result = QueueFull
	}
	f.after(took, func() {
		if m.balancer == balancer {
			balancer.HandleHealthCheck(f.now, worker, result, took, nil)
		}
	})
}

func (m *fleetMember) SendPeerMessage(to int, data string) {
	f := m.fleet
	for i, peer := range f.members {
		if i == m.index || to >= 0 && i != to || f.rng.Float64() < f.lossRate || f.isPartitioned(i) {
			continue
		}
		f.after(ms, func() { peer.balancer.HandlePeerMessage(f.now, m.index, data) })
	}
}

// isPartitioned reports whether a dispatcher currently receives no datagrams.
func (f *virtualFleet) isPartitioned(dispatcher int) bool {
	return dispatcher%3 == 0 && f.now >= fleetPartitionAt && f.now < fleetPartitionAt+f.outage
}

// run runs the fleet to its end.
func (f *virtualFleet) run(t *testing.T) {
	t.Helper()
	for f.now = fleetStep; f.now < fleetRunDuration; f.now += fleetStep {
		for _, do := range f.events[f.now] {
			do()
		}
		delete(f.events, f.now)
		for _, member := range f.members {
			member.step()
		}
		if f.restartEvery > 0 && f.now%f.restartEvery == 0 {
			f.members[int(f.now/f.restartEvery)%f.dispatchers].start(t)
		}
	}
}

// step handles the timer, heartbeat and calls of one dispatcher in one step.
func (m *fleetMember) step() {
	f := m.fleet
	if m.timerAt > 0 && m.timerAt <= f.now {
		m.timerAt = 0
		m.balancer.HandleTimer(f.now, m.timer)
	}
	if f.now%(1000*ms) == 0 {
		m.balancer.ConfirmEndpoints(f.now)
	}
	if f.rng.Float64() >= f.callsPerSecond*float64(fleetStep)/1e9 {
		return
	}
	f.calls++
	request := testRequest(fmt.Sprintf("%d-%d", m.index, f.calls), f.now, FuncID(f.rng.IntN(3*f.workers)))
	m.balancer.HandleRequest(f.now, request)
}

// Guards against late calls to a draining worker, as defined at recordRejected, while discovery
// sends heartbeats but reports no change. Dispatchers that contact workers rarely, restart, or lose
// datagrams for a while must not send such calls either.
func TestFleetDetectsDrainsNotReportedByDiscovery(t *testing.T) {
	for _, spec := range []fleetSpec{
		{dispatchers: 6, workers: 12, callsPerSecond: 5},
		{dispatchers: 20, workers: 22, callsPerSecond: 12},
		{dispatchers: 20, workers: 22, callsPerSecond: 12, restartEvery: 500 * ms},
		{dispatchers: 20, workers: 40, callsPerSecond: 0.3},
		{dispatchers: 45, workers: 22, callsPerSecond: 3, lossRate: 0.2},
		{dispatchers: 30, workers: 60, callsPerSecond: 4, checkHangs: true},
		{dispatchers: 30, workers: 20, callsPerSecond: 4, outage: 25_000 * ms},
		{dispatchers: 24, workers: 24, callsPerSecond: 6, outage: 3000 * ms, lossRate: 0.1, restartEvery: 3000 * ms},
	} {
		for seed := range uint64(3) {
			spec := spec
			spec.seed = seed
			t.Run(fmt.Sprintf("%+v", spec), func(t *testing.T) { assertNoLateCalls(t, spec) })
		}
	}
	for name, spec := range map[string]fleetSpec{
		// A third of the dispatchers, leaders included, receive no datagrams for longer than a report
		// lasts.
		"partitioned leaders": {seed: 22, dispatchers: 30, workers: 20, callsPerSecond: 4, outage: 25_000 * ms},
		// A partitioned leader receives no drain reports; others must not take workers that its notices
		// omit to accept work.
		"partitioned leader notices": {seed: 42, dispatchers: 30, workers: 20, callsPerSecond: 4, outage: 25_000 * ms},
		// The dispatchers that watch a worker are partitioned, and the others rely on them.
		"partitioned watchers": {seed: 68, dispatchers: 30, workers: 20, callsPerSecond: 4, outage: 25_000 * ms},
		// A call that was sent before the worker was suspected is rejected.
		"rejected after suspected": {seed: 90, dispatchers: 30, workers: 20, callsPerSecond: 4, outage: 25_000 * ms},
		// The health checks of a worker fail after it rejected a call.
		"rejected before suspected": {seed: 5, dispatchers: 20, workers: 22, callsPerSecond: 12},
	} {
		t.Run(name, func(t *testing.T) { assertNoLateCalls(t, spec) })
	}
}

// assertNoLateCalls runs a fleet and checks that no call was late and more than 97 % were served.
func assertNoLateCalls(t *testing.T, spec fleetSpec) {
	t.Helper()
	t.Parallel()
	fleet := newVirtualFleet(t, spec)
	fleet.run(t)
	assert.Empty(t, fleet.late)
	assert.Greater(t, float64(fleet.served), 0.97*float64(fleet.calls))
	t.Logf("%d calls, %d served, %.3f checks a call", fleet.calls, fleet.served,
		float64(fleet.checks)/float64(fleet.calls))
}
