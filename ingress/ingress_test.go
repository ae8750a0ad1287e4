package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// handledIn returns how many requests of connections that send the next one as soon as the one
// before is handled are handled within a time.
func handledIn(connections int, request Request, within time.Duration) (handled int) {
	pacer := NewPacer(start)
	flows, due := make([]Flow, connections), make([]time.Time, connections)
	for i := range flows {
		flows[i], due[i] = NewFlow(start), start
	}
	const step = time.Millisecond // the time that a request takes beside its wait
	for now := start; now.Before(start.Add(within)); now = now.Add(step) {
		for i := range flows {
			if !now.Before(due[i]) {
				due[i] = now.Add(pacer.Next(now, &flows[i], request))
				handled++
			}
		}
	}
	return handled
}

// Connections at full speed get a bounded rate each, and a bounded rate together.
func TestPacerBoundsRates(t *testing.T) {
	const seconds = 10
	for name, test := range map[string]struct {
		connections int
		request     Request
		atMost      float64 // requests per second, beside the burst
	}{
		"one":             {1, Request{}, maxRate},
		"six":             {6, Request{}, 6 * maxRate},
		"hundreds":        {300, Request{}, 1.1 * sharedRate},
		"one pipelined":   {1, Request{Pipelined: true}, maxPipelinedRate},
		"many pipelined":  {300, Request{Pipelined: true}, 1.5 * sharedPipelinedRate},
		"hundreds, large": {300, Request{BodyBytes: 4 * weightBytes}, 1.1 * sharedRate / 5},
		"more than share": {600, Request{}, 600 * minRate},
	} {
		t.Run(name, func(t *testing.T) {
			handled := handledIn(test.connections, test.request, seconds*time.Second)
			bursts := 2 * burst * test.connections
			assert.LessOrEqual(t, float64(handled), test.atMost*seconds+float64(bursts))
			assert.Positive(t, handled)
		})
	}
}

// Hundreds of connections that begin to pipeline at once share one burst.
func TestPipelinedBurstIsShared(t *testing.T) {
	const connections = 300
	handled := handledIn(connections, Request{Pipelined: true}, time.Second)
	assert.LessOrEqual(t, handled, connections+sharedPipelinedBurst+sharedPipelinedRate)
}

// A pipelined request waits for a bounded time, however many have been sent on connections that were
// closed since.
func TestPipelinedWaitIsBounded(t *testing.T) {
	pacer := NewPacer(start)
	for range 10_000 {
		flow := NewFlow(start)
		pacer.Next(start, &flow, Request{Pipelined: true})
	}
	flow := NewFlow(start)
	assert.Equal(t, maxPipelinedWait, pacer.Next(start, &flow, Request{Pipelined: true}))
	later, flow := start.Add(maxPipelinedWait+time.Second), NewFlow(start)
	assert.Zero(t, pacer.Next(later, &flow, Request{Pipelined: true}), "the wait ends once nothing is sent")
}

// A connection that sends no faster than clients usually do never waits, whatever others do.
func TestPacerLetsUsualConnectionsPass(t *testing.T) {
	pacer := NewPacer(start)
	usual, flooding := NewFlow(start), NewFlow(start)
	for i := range 500 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		for range 20 {
			pacer.Next(now, &flooding, Request{})
		}
		assert.Zero(t, pacer.Next(now, &usual, Request{}))
	}
}

// A few connections that send large requests in turn, as a worker answers them, never wait.
func TestPacerLetsLargeRequestsPass(t *testing.T) {
	const connections = 30
	pacer := NewPacer(start)
	flows := make([]Flow, connections)
	for i := range flows {
		flows[i] = NewFlow(start)
	}
	for i := range 500 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		for j := range flows {
			assert.Zero(t, pacer.Next(now, &flows[j], Request{BodyBytes: 4 * weightBytes}))
		}
	}
}

// Connections are accepted at a bounded rate after a burst.
func TestAcceptsAreBounded(t *testing.T) {
	accepts, now, accepted := NewAccepts(start), start, 0
	for ; now.Before(start.Add(time.Second)); accepted++ {
		now = now.Add(accepts.Next(now))
	}
	assert.InDelta(t, acceptBurst+acceptRate, accepted, 2)
}

// Small requests are not counted; of large ones, that which has been arriving for longest is to be
// refused once they exceed the limit.
func TestMemoryPrefersSlowest(t *testing.T) {
	memory := NewMemory(10 << 10)
	slow, fast, small := Holding{Began: start}, Holding{Began: start.Add(time.Second)}, Holding{Began: start}
	assert.True(t, memory.Set(&small, FreeBytes))
	assert.False(t, small.IsEvictable())
	assert.True(t, memory.Set(&slow, 8<<10))
	assert.False(t, memory.Set(&fast, 8<<10))
	assert.True(t, slow.IsEvictable())
	assert.True(t, slow.SlowerThan(&fast))
	assert.True(t, memory.Set(&slow, 0), "releasing always fits")
	assert.True(t, memory.Fits())
	memory.Set(&fast, 0)
	memory.Set(&small, 0)
	assert.Zero(t, memory.Held())
}

func TestCheckHead(t *testing.T) {
	assert.Equal(t, Accepted, CheckHead(MaxHeadFields))
	assert.Equal(t, TooManyFields, CheckHead(MaxHeadFields+1))
}
