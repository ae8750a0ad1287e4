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

// asked is a dispatcher of the real module before executors that answer each call at once if
// loaded, else 60 ms later; it counts the messages.
type asked struct {
	d     *balancer.Balancer
	now   int64
	queue []due
	tell  func(to int, text string)
	sends map[string]int
}

type due struct {
	at int64
	do func()
}

func (h *asked) after(delay int64, do func()) {
	at := h.now + max(delay, 1)
	i, _ := slices.BinarySearchFunc(h.queue, at, func(x due, at int64) int { return cmp.Compare(x.at, at+1) })
	h.queue = slices.Insert(h.queue, i, due{at, do})
}

func (h *asked) SendAttempt(id string, w balancer.WorkerID, _ int64) {
	n := h.sends[id]
	h.sends[id]++
	h.after(60e6, func() {
		h.d.HandleAttemptResult(h.now, balancer.AttemptResult{
			ID: id, Attempt: n, Worker: w, Result: balancer.OK,
			Finished: true, Warmth: balancer.WarmHit,
		})
	})
}

func (h *asked) OrderLoad(w balancer.WorkerID, f balancer.FuncID, n int) {
	h.after(100e6, func() { h.d.HandleLoadResult(h.now, w, f, n, balancer.OK) })
}

func (h *asked) CountTowardLoadQuota(int64) {}

func (h *asked) SetTimer(delay, ref int64) { h.after(delay, func() { h.d.HandleTimer(h.now, ref) }) }

func (h *asked) SendPeerMessage(to int, text string) { h.tell(to, text) }

func (*asked) CancelAttempt(string, int) {}

func (*asked) Reject(string, int64) {}

func (*asked) Fail(string) {}

func (*asked) OrderUnload(balancer.WorkerID, balancer.FuncID) {}

func (*asked) HealthCheck(balancer.WorkerID) {}

func (*asked) SubscribeEndpoints() {}

func (*asked) Log(string) {}

// run plays events up to a time.
func run(h *asked, until int64) {
	for len(h.queue) > 0 && h.queue[0].at <= until {
		x := h.queue[0]
		h.queue = h.queue[1:]
		h.now = x.at
		x.do()
	}
}

// The arithmetic of reports against the module: so many per second and so many characters as it
// really sends, where calls pay for each round and where they do not.
func TestReportsAgainstTheModule(t *testing.T) {
	const executors, dispatchers, tenants = 600, 1900, 5
	for _, calls := range []int{20, 200} {
		h := &asked{now: 1e18, sends: map[string]int{}}
		reports, chars := 0, 0
		h.tell = func(to int, text string) {
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
			Gossip:      true, PeerPrice: Base(Letter()).PeerPrice, KeepAlive: 10e9, LoadsOnMiss: true,
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
		c := Base(Letter())
		c.Executors, c.Dispatchers, c.Figures = executors, dispatchers, tenants+2
		rate, p := c.reports(float64(calls))
		t.Logf("%d calls/s: %.3g reports/s of %.3g characters; by arithmetic %.3g of %d", calls,
			float64(reports)/seconds,
			float64(chars)/max(1, float64(reports)), rate, p.All)
		assert.InEpsilon(t, rate*float64(p.All), float64(chars)/seconds, 0.25, "%d calls/s", calls)
		assert.InEpsilon(t, rate, float64(reports)/seconds, 0.25, "%d calls/s", calls)
	}
}

// The price against the module: a collector that has received from all others of its term, or from
// all but one that never sent, sends a digest up to the number of dispatchers that the arithmetic
// gives, and beyond it none.
func TestPriceAgainstTheModule(t *testing.T) {
	const tenants, price = 5, 0.021
	objective := int64(400e6)
	for _, c := range []struct {
		siblings int
		silent   bool
		told     bool
	}{
		{700, false, true},
		{1900, false, true},
		{700, true, true},
		{782, true, true},
		{783, true, false},
		{1900, true, false},
	} {
		t.Run(fmt.Sprintf("%d siblings, one silent %v", c.siblings, c.silent), func(t *testing.T) {
			h, texts := &asked{now: 1e18, sends: map[string]int{}}, 0
			h.tell = func(to int, text string) {
				if m, ok := aggregate.Decode(text, c.siblings); to < 0 && ok && m.FromLeader {
					texts++
				}
			}
			term := 2 * objective
			h.now -= h.now % term
			for leader.New(0, c.siblings, term).Leader(h.now) != 0 {
				h.now += term
			}
			h.now -= term // it has lived for a while when its term comes
			begin := h.now + term
			s := balancer.Settings{
				Classes: []balancer.Class{{
					LatencyObjective: objective, ClientTimeout: 5e9, PriorityWeight: 1,
					Idempotency: balancer.Idempotent,
				}}, Dispatchers: c.siblings,
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
			}.Encode(c.siblings)[0]
			h.after(begin+20e6-h.now, func() {
				for from := 1; from < c.siblings; from++ {
					if !c.silent || from != 1 {
						require.True(t, h.d.HandlePeerMessage(h.now, from, report))
					}
				}
			})
			run(h, begin+term-1)
			assert.Equal(t, c.told, texts > 0, "%d texts", texts)
		})
	}
}
