package capacity

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/aggregate"
	"oakthread/balancer"
	"oakthread/leader"
)

// testHost runs the balancer of a dispatcher in virtual time, with executors that answer every call
// after 60 ms from a loaded copy. It passes the messages to other dispatchers to onPeerMessage.
type testHost struct {
	d             *balancer.Balancer
	now           int64
	queue         []timedEvent
	onPeerMessage func(to int, text string)
	attempts      map[string]int
}

type timedEvent struct {
	at int64
	do func()
}

func (h *testHost) after(delay int64, do func()) {
	at := h.now + max(delay, 1)
	i, _ := slices.BinarySearchFunc(h.queue, at, func(x timedEvent, at int64) int { return cmp.Compare(x.at, at+1) })
	h.queue = slices.Insert(h.queue, i, timedEvent{at, do})
}

func (h *testHost) SendAttempt(id string, w balancer.WorkerID, _ int64) {
	n := h.attempts[id]
	h.attempts[id]++
	h.after(60e6, func() {
		h.d.HandleAttemptResult(h.now, balancer.AttemptResult{
			ID: id, Attempt: n, Worker: w, Result: balancer.OK,
			Finished: true, Warmth: balancer.WarmHit,
		})
	})
}

func (h *testHost) OrderLoad(w balancer.WorkerID, f balancer.FuncID, n int) {
	h.after(100e6, func() { h.d.HandleLoadResult(h.now, w, f, n, balancer.OK) })
}

func (h *testHost) CountTowardLoadQuota(int64) {}

func (h *testHost) SetTimer(delay, ref int64) { h.after(delay, func() { h.d.HandleTimer(h.now, ref) }) }

func (h *testHost) SendPeerMessage(to int, text string) { h.onPeerMessage(to, text) }

func (*testHost) CancelAttempt(string, int) {}

func (*testHost) Reject(string, int64) {}

func (*testHost) Fail(string) {}

func (*testHost) OrderUnload(balancer.WorkerID, balancer.FuncID) {}

func (*testHost) HealthCheck(balancer.WorkerID) {}

func (*testHost) SubscribeEndpoints() {}

func (*testHost) Log(string) {}

// run processes the events up to a time.
func run(h *testHost, until int64) {
	for len(h.queue) > 0 && h.queue[0].at <= until {
		x := h.queue[0]
		h.queue = h.queue[1:]
		h.now = x.at
		x.do()
	}
}

// The computed rate and size of reports match those that the balancer sends within 25%, at 20 and
// at 200 calls per second.
func TestReportRateMatchesTheBalancer(t *testing.T) {
	const executors, dispatchers, tenants = 600, 1900, 5
	for _, calls := range []int{20, 200} {
		h := &testHost{now: 1e18, attempts: map[string]int{}}
		reports, chars := 0, 0
		h.onPeerMessage = func(to int, text string) {
			if to >= 0 {
				chars += len(text)
				if m, ok := aggregate.Decode(text, dispatchers); ok && !m.Continued {
					reports++
				}
			}
		}
		s := balancer.Settings{
			Classes: []balancer.Class{{
				LatencyObjective: 400e6, ClientTimeout: 5e9, PriorityWeight: 1,
				Idempotency: balancer.Idempotent,
			}},
			TenantQuota: make([]float64, tenants), DispatcherIndex: 3, Dispatchers: dispatchers, ClockResolution: 4e6,
			MaxAttempts: 5,
			Gossip:      true, PeerPrice: Base(OperatorPlan()).PeerPrice, KeepAlive: 10e9, LoadsOnMiss: true,
		}
		var err error
		h.d, err = balancer.New(h.now, s, 1, h)
		require.NoError(t, err)
		var es []balancer.Endpoint
		for i := range executors {
			es = append(es, balancer.Endpoint{Worker: balancer.WorkerID(i + 1), State: balancer.Active, Weight: 1})
		}
		h.d.UpdateEndpoints(h.now, balancer.EndpointsSnapshot, es)
		rng := rand.New(rand.NewPCG(5, uint64(calls)))
		gap, n := int64(1e9)/int64(calls), 0
		var call func()
		call = func() {
			n++
			h.d.HandleRequest(h.now, balancer.Request{
				ID: fmt.Sprint(n), Func: balancer.FuncID(rng.Uint64N(48_000)),
				Deadline: h.now + 5e9, Concurrency: 1,
			})
			h.after(gap, call)
		}
		h.after(gap, call)
		run(h, h.now+2e9)
		reports, chars = 0, 0
		const seconds = 4
		run(h, h.now+seconds*1e9)
		c := Base(OperatorPlan())
		c.Executors, c.Dispatchers, c.Figures = executors, dispatchers, tenants+2
		rate, p := c.reportRate(float64(calls))
		t.Logf("%d calls/s: %.3g reports/s of %.3g characters; computed %.3g of %d", calls,
			float64(reports)/seconds,
			float64(chars)/max(1, float64(reports)), rate, p.Total)
		assert.InEpsilon(t, rate*float64(p.Total), float64(chars)/seconds, 0.25, "%d calls/s", calls)
		assert.InEpsilon(t, rate, float64(reports)/seconds, 0.25, "%d calls/s", calls)
	}
}

// A leader that has received the reports of all other dispatchers, or of all but one that never
// sent any, sends a digest up to the computed number of dispatchers and none above it.
func TestDigestPriceMatchesTheBalancer(t *testing.T) {
	const tenants, price = 5, 0.021
	objective := int64(400e6)
	for _, c := range []struct {
		dispatchers int
		silent      bool
		sent        bool
	}{
		{700, false, true},
		{1900, false, true},
		{700, true, true},
		{782, true, true},
		{783, true, false},
		{1900, true, false},
	} {
		t.Run(fmt.Sprintf("%d dispatchers, one silent %v", c.dispatchers, c.silent), func(t *testing.T) {
			h, texts := &testHost{now: 1e18, attempts: map[string]int{}}, 0
			h.onPeerMessage = func(to int, text string) {
				if m, ok := aggregate.Decode(text, c.dispatchers); to < 0 && ok && m.FromLeader {
					texts++
				}
			}
			term := 2 * objective
			h.now -= h.now % term
			for leader.New(0, c.dispatchers, term).Leader(h.now) != 0 {
				h.now += term
			}
			h.now -= term // it has been running for a term when it becomes the leader
			begin := h.now + term
			s := balancer.Settings{
				Classes: []balancer.Class{{
					LatencyObjective: objective, ClientTimeout: 5e9, PriorityWeight: 1,
					Idempotency: balancer.Idempotent,
				}}, Dispatchers: c.dispatchers,
				TenantQuota: make([]float64, tenants), ClockResolution: 4e6, MaxAttempts: 5, Gossip: true,
				PeerPrice: price, KeepAlive: 10e9,
			}
			var err error
			h.d, err = balancer.New(h.now, s, 1, h)
			require.NoError(t, err)
			var es []balancer.Endpoint
			for i := range 60 {
				es = append(es, balancer.Endpoint{Worker: balancer.WorkerID(i + 1), State: balancer.Active, Weight: 1})
			}
			h.d.UpdateEndpoints(h.now, balancer.EndpointsSnapshot, es)
			n := 0
			var call func()
			call = func() {
				n++
				h.d.HandleRequest(h.now, balancer.Request{
					ID: fmt.Sprint(n), Func: balancer.FuncID(n),
					Deadline: h.now + 5e9, Concurrency: 1,
				})
				h.after(5e6, call)
			}
			h.after(1, call)
			report := aggregate.Message{
				Calls:  255,
				Report: aggregate.Report{Seq: 1, Values: make([]float64, tenants+2), Fresh: true},
			}.Encode(c.dispatchers)[0]
			h.after(begin+20e6-h.now, func() {
				for from := 1; from < c.dispatchers; from++ {
					if !c.silent || from != 1 {
						require.True(t, h.d.HandlePeerMessage(h.now, from, report))
					}
				}
			})
			run(h, begin+term-1)
			assert.Equal(t, c.sent, texts > 0, "%d texts", texts)
		})
	}
}
