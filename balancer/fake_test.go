package balancer

import (
	"testing"

	"oakthread/aggregate"
)

const ms = int64(1e6)

// fakeHost is a host that writes down what is asked of it.
type fakeHost struct {
	attempts      []sentAttempt
	answers       map[string]string
	loadOrders    []WorkerID
	unloadOrders  []FuncID
	cancellations int
	subscriptions int
	messages      []string
	receivers     []int
	timerDelays   []int64 // delays
	timerRef      int64
	lastWorker    map[string]WorkerID
}

type sentAttempt struct {
	id     string
	worker WorkerID
}

func newFakeHost() *fakeHost {
	return &fakeHost{answers: map[string]string{}, lastWorker: map[string]WorkerID{}}
}

func (f *fakeHost) SendAttempt(id string, w WorkerID, until int64) {
	f.attempts = append(f.attempts, sentAttempt{id, w})
	f.lastWorker[id] = w
}

func (f *fakeHost) CancelAttempt(id string, n int) { f.cancellations++ }

func (f *fakeHost) Reject(id string, wait int64) { f.answers[id] += "refused" }

func (f *fakeHost) Fail(id string) { f.answers[id] += "failed" }

func (f *fakeHost) OrderLoad(w WorkerID, fn FuncID, n int) { f.loadOrders = append(f.loadOrders, w) }

func (f *fakeHost) OrderUnload(w WorkerID, fn FuncID) { f.unloadOrders = append(f.unloadOrders, fn) }

func (f *fakeHost) HealthCheck(w WorkerID) {}

func (f *fakeHost) SendPeerMessage(to int, data string) {
	f.messages, f.receivers = append(f.messages, data), append(f.receivers, to)
}

func (f *fakeHost) SetTimer(delay, ref int64) {
	f.timerDelays = append(f.timerDelays, delay)
	f.timerRef = ref
}

func (f *fakeHost) CountTowardLoadQuota(int64) {}

func (f *fakeHost) SubscribeEndpoints() { f.subscriptions++ }

func (f *fakeHost) Log(text string) {}

func testSettings(e Idempotency, s IdempotencyScope) Settings {
	return Settings{Classes: []Class{{LatencyObjective: 1000 * ms, ClientTimeout: 3000 * ms, IdempotencyWindow: 2000 * ms, PriorityWeight: 1, Idempotency: e, IdempotencyScope: s}},
		Dispatchers: 2, ClockResolution: 2 * ms, MaxAttempts: 4, Hedging: true, Cancellation: true,
		DrainGrace: 500 * ms, SlowStartWindow: 10000 * ms, OverloadWindow: 2000 * ms, OverloadFactor: 3, SlowStartCapacity: 0.2,
		LoadOrders: true, LoadsOnMiss: true, ReportsWarmth: true, KeepAlive: 8000 * ms, LoadOrderTimeout: 10000 * ms}
}

func activeEndpoints(n int) (es []Endpoint) {
	for i := 1; i <= n; i++ {
		es = append(es, Endpoint{Worker: WorkerID(i), Zone: i % 2, State: Active, Weight: 1})
	}
	return es
}

func newTestBalancer(t testing.TB, s Settings, n int) (*Balancer, *fakeHost) {
	t.Helper()
	f := newFakeHost()
	d, err := New(0, s, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(n))
	return d, f
}

func testRequest(id string, now int64, fn FuncID) Request {
	return Request{ID: id, Func: fn, Deadline: now + 3000*ms, Concurrency: 2, LoadTime: 500 * ms}
}

func successful(id string, w WorkerID) AttemptResult {
	return AttemptResult{ID: id, Worker: w, Result: OK, Finished: true, Warmth: WarmHit}
}

// fireTimers rings the bell all along, so that the dispatcher does not take itself to have stood still.
func fireTimers(d *Balancer, f *fakeHost, from, to int64) {
	for now := from; now <= to; now += 20 * ms {
		d.HandleTimer(now, f.timerRef)
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

// encodedDigest is what a hub tells that has heard of all.
func encodedDigest(d *Balancer, now int64, sums []float64, counts ...aggregate.Count) string {
	m := aggregate.Message{FromLeader: true, Counts: counts, Digest: aggregate.Digest{Tick: uint16(now / d.settings.ClockResolution), Sums: sums,
		Covered: aggregate.NewSet(d.settings.Dispatchers)}}
	for i := range d.settings.Dispatchers {
		m.Digest.Covered.Add(i)
	}
	return m.Encode(d.settings.Dispatchers)[0]
}
