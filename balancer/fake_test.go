package balancer

import (
	"testing"

	"oakthread/aggregate"
)

const ms = int64(1e6)

// fake is a host that writes down what is asked of it.
type fake struct {
	sends   []sent
	answers map[string]string
	loads   []WorkerID
	drops   []FuncID
	cancels int
	watches int
	told    []string
	toldTo  []int
	timers  []int64 // delays
	ref     int64
	last    map[string]WorkerID
}

type sent struct {
	id string
	w  WorkerID
}

func newFake() *fake { return &fake{answers: map[string]string{}, last: map[string]WorkerID{}} }

func (f *fake) SendAttempt(id string, w WorkerID, until int64) {
	f.sends = append(f.sends, sent{id, w})
	f.last[id] = w
}

func (f *fake) CancelAttempt(id string, n int) { f.cancels++ }

func (f *fake) Reject(id string, wait int64) { f.answers[id] += "refused" }

func (f *fake) Fail(id string) { f.answers[id] += "failed" }

func (f *fake) OrderLoad(w WorkerID, fn FuncID, n int) { f.loads = append(f.loads, w) }

func (f *fake) OrderUnload(w WorkerID, fn FuncID) { f.drops = append(f.drops, fn) }

func (f *fake) HealthCheck(w WorkerID) {}

func (f *fake) SendPeerMessage(to int, data string) {
	f.told, f.toldTo = append(f.told, data), append(f.toldTo, to)
}

func (f *fake) SetTimer(delay, ref int64) {
	f.timers = append(f.timers, delay)
	f.ref = ref
}

func (f *fake) CountTowardLoadQuota(int64) {}

func (f *fake) SubscribeEndpoints() { f.watches++ }

func (f *fake) Log(text string) {}

func settings(e Idempotency, s IdempotencyScope) Settings {
	return Settings{Classes: []Class{{LatencyObjective: 1000 * ms, ClientTimeout: 3000 * ms, IdempotencyWindow: 2000 * ms, PriorityWeight: 1, Idempotency: e, IdempotencyScope: s}},
		Dispatchers: 2, ClockResolution: 2 * ms, MaxAttempts: 4, Hedging: true, Cancellation: true,
		DrainGrace: 500 * ms, SlowStartWindow: 10000 * ms, OverloadWindow: 2000 * ms, OverloadFactor: 3, SlowStartCapacity: 0.2,
		LoadOrders: true, LoadsOnMiss: true, ReportsWarmth: true, KeepAlive: 8000 * ms, LoadOrderTimeout: 10000 * ms}
}

func roster(n int) (es []Endpoint) {
	for i := 1; i <= n; i++ {
		es = append(es, Endpoint{Worker: WorkerID(i), Zone: i % 2, State: Active, Weight: 1})
	}
	return es
}

func start(t testing.TB, s Settings, n int) (*Balancer, *fake) {
	t.Helper()
	f := newFake()
	d, err := New(0, s, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(0, EndpointsSnapshot, roster(n))
	return d, f
}

func call(id string, now int64, fn FuncID) Request {
	return Request{ID: id, Func: fn, Deadline: now + 3000*ms, Concurrency: 2, LoadTime: 500 * ms}
}

func ok(id string, w WorkerID) AttemptResult {
	return AttemptResult{ID: id, Worker: w, Result: OK, Finished: true, Warmth: WarmHit}
}

// awake rings the bell all along, so that the dispatcher does not take itself to have stood still.
func awake(d *Balancer, f *fake, from, to int64) {
	for now := from; now <= to; now += 20 * ms {
		d.HandleTimer(now, f.ref)
	}
}

// markAllResponded has every worker count as one that has responded, and no recent call as one that
// needed a load.
func markAllResponded(d *Balancer) {
	for _, w := range d.endpoints.listed {
		w.responded = true
	}
	d.loads.share = 0
}

// digest is what a hub tells that has heard of all.
func digest(d *Balancer, now int64, sums []float64, counts ...aggregate.Count) string {
	m := aggregate.Message{FromLeader: true, Counts: counts, Digest: aggregate.Digest{Tick: uint16(now / d.settings.ClockResolution), Sums: sums,
		Covered: aggregate.NewSet(d.settings.Dispatchers)}}
	for i := range d.settings.Dispatchers {
		m.Digest.Covered.Add(i)
	}
	return m.Encode(d.settings.Dispatchers)[0]
}
