package balancer

import (
	"testing"

	"oakthread/aggregate"
)

const ms = int64(1e6)

// fakeHost is a Host that records the actions it is asked for.
type fakeHost struct {
	attempts      []sentAttempt
	answers       map[string]string
	loadOrders    []WorkerID
	unloadOrders  []FuncID
	healthChecks  []WorkerID
	cancellations int
	subscriptions int
	messages      []string
	receivers     []int
	timerDelays   []int64
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

func (f *fakeHost) SendAttempt(id string, worker WorkerID, until int64) {
	f.attempts = append(f.attempts, sentAttempt{id, worker})
	f.lastWorker[id] = worker
}

func (f *fakeHost) CancelAttempt(id string, n int) { f.cancellations++ }

func (f *fakeHost) Reject(id string, wait int64) { f.answers[id] += "rejected" }

func (f *fakeHost) Fail(id string) { f.answers[id] += "failed" }

func (f *fakeHost) OrderLoad(worker WorkerID, function FuncID, n int) {
	f.loadOrders = append(f.loadOrders, worker)
}

func (f *fakeHost) OrderUnload(worker WorkerID, function FuncID) {
	f.unloadOrders = append(f.unloadOrders, function)
}

func (f *fakeHost) HealthCheck(worker WorkerID) { f.healthChecks = append(f.healthChecks, worker) }

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

// testSettings returns the settings of two dispatchers with one class of requests.
func testSettings(idempotency Idempotency, scope IdempotencyScope) Settings {
	class := Class{
		LatencyObjective:  1000 * ms,
		ClientTimeout:     3000 * ms,
		IdempotencyWindow: 2000 * ms,
		PriorityWeight:    1,
		Idempotency:       idempotency,
		IdempotencyScope:  scope,
	}
	return Settings{
		Classes:           []Class{class},
		Dispatchers:       2,
		ClockResolution:   2 * ms,
		MaxAttempts:       4,
		Hedging:           true,
		Cancellation:      true,
		DrainGrace:        500 * ms,
		SlowStartWindow:   10000 * ms,
		OverloadWindow:    2000 * ms,
		OverloadFactor:    3,
		SlowStartCapacity: 0.2,
		LoadOrders:        true,
		LoadsOnMiss:       true,
		ReportsWarmth:     true,
		KeepAlive:         8000 * ms,
		LoadOrderTimeout:  10000 * ms,
	}
}

// activeEndpoints returns n active endpoints in two zones.
func activeEndpoints(n int) (endpoints []Endpoint) {
	for i := 1; i <= n; i++ {
		endpoints = append(endpoints, Endpoint{Worker: WorkerID(i), Zone: i % 2, State: Active, Weight: 1})
	}
	return endpoints
}

// newTestBalancer returns a balancer with n active workers, and its host.
func newTestBalancer(t testing.TB, settings Settings, n int) (*Balancer, *fakeHost) {
	t.Helper()
	host := newFakeHost()
	balancer, err := New(0, settings, 7, host)
	if err != nil {
		t.Fatal(err)
	}
	balancer.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(n))
	return balancer, host
}

// testRequest returns a request whose deadline is three seconds after now.
func testRequest(id string, now int64, function FuncID) Request {
	return Request{ID: id, Func: function, Deadline: now + 3000*ms, Concurrency: 2, LoadTime: 500 * ms}
}

// successful returns the result of a request's first attempt, answered by a loaded copy.
func successful(id string, worker WorkerID) AttemptResult {
	return AttemptResult{ID: id, Worker: worker, Result: OK, Finished: true, Warmth: WarmHit}
}

// fireTimers fires the timer every 20 ms, so that no stall is detected.
func fireTimers(balancer *Balancer, host *fakeHost, from, to int64) {
	for now := from; now <= to; now += 20 * ms {
		balancer.HandleTimer(now, host.timerRef)
	}
}

// markAllResponded marks every worker as having responded, and sets the share of recent calls that
// caused a load to 0.
func markAllResponded(balancer *Balancer) {
	for _, worker := range balancer.endpoints.listed {
		worker.responded = true
	}
	balancer.loads.share = 0
}

// encodedDigest returns the encoded digest of a leader that has the reports of all dispatchers.
func encodedDigest(balancer *Balancer, now int64, sums []float64, counts ...aggregate.Count) string {
	message := aggregate.Message{
		FromLeader: true,
		Counts:     counts,
		Digest: aggregate.Digest{
			Tick:    uint16(now / balancer.settings.ClockResolution),
			Sums:    sums,
			Covered: aggregate.NewNodeSet(balancer.settings.Dispatchers),
		},
	}
	for i := range balancer.settings.Dispatchers {
		message.Digest.Covered.Add(i)
	}
	return message.Encode(balancer.settings.Dispatchers)[0]
}
