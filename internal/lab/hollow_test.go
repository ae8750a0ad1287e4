package lab

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func smallHollow() HollowSize {
	return HollowSize{Dispatchers: 12, Executors: 20, Functions: 100, Calls: 20, ListEvents: 2, Span: 4 * time.Second}
}

// exact returns the figures that depend on neither a clock nor the garbage collector.
func exact(result *HollowResult) map[string]float64 {
	out := map[string]float64{}
	for name, x := range result.Figures {
		if !strings.HasPrefix(name, "cpu.") && name != "heap" && name != "resident" {
			out[name] = x
		}
	}
	return out
}

// Runs with the same seed repeat exactly, also with restarted dispatchers and drained workers;
// another seed gives other figures.
func TestHollowRepeats(t *testing.T) {
	run := func(seed uint64, fault string) map[string]float64 {
		size := smallHollow()
		size.Fault, size.Lost = fault, 0.01
		result, err := HollowRun(t.Context(), size, seed)
		require.NoError(t, err)
		return exact(result)
	}
	a := run(1, FaultRestarts)
	assert.Equal(t, a, run(1, FaultRestarts))
	assert.NotEqual(t, a, run(2, FaultRestarts))
	assert.Equal(t, run(1, FaultZone), run(1, FaultZone))
}

// A run with each fault completes: no path-book call runs twice, every call ends, and the measured
// figures are present.
func TestHollowFaults(t *testing.T) {
	for _, fault := range append(HollowFaults(), "") {
		size := smallHollow()
		size.Fault, size.ListEvents = fault, 0
		result, err := HollowRun(t.Context(), size, 3)
		require.NoError(t, err, fault)
		assert.Zero(t, result.Figures["twice"]+result.Figures["open"]+result.Figures["fallen"]+result.Figures["late"],
			fault)
		for _, name := range []string{
			"worth", "unserved", "heap", "cpu.choice", "cpu.control", "cpu.config",
			"bytes.in", "digests", "covered",
		} {
			assert.Contains(t, result.Figures, name, fault)
		}
		assert.Greater(t, result.Figures["worth"], 0.6, fault)
		assert.Empty(t, result.Partial)
	}
}

// A release with lists too long for a full scan, as TestReleaseInALongList runs it with real
// processes: no rule is violated, under 2% of the calls go unserved, every third worker drains, and
// new workers get work although they are cold.
func TestHollowReleaseInALongList(t *testing.T) {
	for _, n := range []int{300, 1200} {
		size := HollowSize{
			Dispatchers: 12, Executors: n, Functions: 5 * n, Calls: 20, Span: 6 * time.Second,
			Fault: FaultRelease,
		}
		require.NoError(t, size.check())
		h, err := newHollow(t.Context(), size, 5)
		require.NoError(t, err)
		result, err := h.run(t.Context())
		require.NoError(t, err)
		assert.Zero(t, result.Figures["twice"]+result.Figures["open"]+result.Figures["fallen"]+result.Figures["late"],
			"%d executors: %v",
			n, result.Figures)
		assert.Less(t, result.Figures["unserved"], 0.02, "%d executors", n)
		assert.Greater(t, result.Figures["worth"], 0.95, "%d executors", n)
		require.Len(t, h.workers, n+n/3)
		used := 0
		for i, worker := range h.workers {
			assert.Equal(t, i < n && i%3 == 0, worker.model.Draining(), "executor %d of %d", i, n)
			if i >= n && len(worker.model.loads) > 0 {
				used++
			}
		}
		assert.Greater(t, used, 10, "of %d new executors, which are cold, given work", n/3)
		t.Logf("%d executors: worth %.4f, unserved %.4f, %d of %d new ones used", n, result.Figures["worth"],
			result.Figures["unserved"], used, n/3)
	}
}

// The meter's counts match the simulated world: messages and bytes delivered, calls sent by
// clients, and loads begun by workers.
func TestHollowMeterMatchesWorld(t *testing.T) {
	size := smallHollow()
	size.ListEvents = 0 // a worker that comes back has a new model without the count of its loads
	require.NoError(t, size.check())
	h, err := newHollow(t.Context(), size, 4)
	require.NoError(t, err)
	h.from = h.began // count the warm-up too
	h.begin()
	h.play(t.Context(), h.until.Add(6*time.Second))
	m := &h.meter
	out := m.totals[2]
	h.allLost = true // no new messages; those in transit arrive
	h.play(t.Context(), h.now.Add(2*peerDelay))
	require.NoError(t, h.err)
	assert.Equal(t, h.deliveredBytes, m.totals[0])
	assert.Equal(t, out, m.totals[0])
	assert.Equal(t, m.counts[partRead], m.totals[1])
	loads, served, sent := 0, 0, 0
	for _, worker := range h.workers {
		for _, n := range worker.model.loads {
			loads += n
		}
	}
	for _, n := range h.servedTally {
		served += n
	}
	for _, n := range h.sentTally {
		sent += n
	}
	assert.Equal(t, h.calls-h.unserved, served)
	assert.Zero(t, h.open)
	assert.GreaterOrEqual(t, m.counts[partChoice], h.calls+sent, "a request and an outcome for each, and loads")
	assert.Equal(t, loads, h.loads)
	assert.Greater(t, loads, 0)
	result := &HollowResult{Figures: map[string]float64{}}
	h.figures(result)
	assert.Greater(t, result.Figures["collector.in.busiest"], result.Figures["bytes.in"])
	assert.GreaterOrEqual(t, result.Figures["bytes.in.busiest"], result.Figures["collector.in.busiest"])
}

// The warm-up has its own call rate except in its last second, which has the rate of the span.
func TestHollowWarmUpCallRate(t *testing.T) {
	size := smallHollow()
	size.ListEvents, size.Calls, size.WarmCalls = 0, 50, 5
	require.NoError(t, size.check())
	h, err := newHollow(t.Context(), size, 1)
	require.NoError(t, err)
	rise := h.from.Add(-hollowRampUp)
	for _, c := range []struct {
		now  time.Time
		x    float64 // multiple of the mean gap
		want time.Duration
	}{
		{h.began, 1, 200 * time.Millisecond},
		{rise.Add(-100 * time.Millisecond), 0.25, 50 * time.Millisecond},
		{rise.Add(-100 * time.Millisecond), 1, 110 * time.Millisecond}, // half a gap at each rate
		{rise, 1, 20 * time.Millisecond},
		{h.from, 3, 60 * time.Millisecond},
	} {
		h.now = c.now
		assert.InDelta(t, c.want, h.gap(c.x), 10, "%v before the span, %g", h.from.Sub(c.now), c.x)
	}
	h.now = h.began
	sent := func(until time.Time) (n int) {
		before := len(h.sentTally)
		h.play(t.Context(), until)
		for _, x := range h.sentTally[min(before, len(h.sentTally)):] {
			n += x
		}
		return n
	}
	slow, fast := sent(rise), sent(h.from)
	assert.InEpsilon(t, 5*12*(size.Warm-hollowRampUp).Seconds(), slow, 0.2)
	assert.InEpsilon(t, 50*12, fast, 0.2)
	size.WarmCalls = -1
	_, err = HollowRun(t.Context(), size, 1)
	assert.Error(t, err)
}

// Functions drawn by a Zipf law need fewer loads than functions drawn uniformly, as calls of
// popular functions find loaded copies.
func TestHollowZipfLoadsLess(t *testing.T) {
	size := smallHollow()
	size.Functions, size.ListEvents = 2000, 0
	even, err := HollowRun(t.Context(), size, 1)
	require.NoError(t, err)
	size.Zipf = 1.2
	popular, err := HollowRun(t.Context(), size, 1)
	require.NoError(t, err)
	assert.Less(t, popular.Figures["loads"], 0.7*even.Figures["loads"])
}

func TestHollowRejectsInvalidSizes(t *testing.T) {
	size := smallHollow()
	size.Memory = 10 << 20
	_, err := HollowRun(t.Context(), size, 1)
	require.ErrorIs(t, err, ErrHollowMemory)
	assert.Contains(t, err.Error(), "12 dispatchers, 20 executors, 100 functions")
	assert.NotContains(t, err.Error(), "\n")
	plan := HollowSize{
		Dispatchers: 1900, Executors: 960, Functions: 48000, Calls: 5, Warm: 6 * time.Second,
		Span: 10 * time.Second,
	}
	assert.Less(t, plan.estimateMemory(), uint64(8e9), "the largest run that is wanted has to fit")
	letter := planCapacity(Options{Seed: 1}).letter
	letter.Warm = 6 * time.Second
	assert.Less(t, letter.estimateMemory(), uint64(12e9), "and so has that of the letter's calls, in half of 24 GB")
	slow := letter
	slow.WarmCalls = 0
	assert.Greater(t, slow.estimateMemory(), letter.estimateMemory())
	for _, invalid := range []HollowSize{
		{},
		{Dispatchers: 1, Executors: 1, Functions: 1},
		{Dispatchers: 1, Executors: 1, Functions: 1, Span: 1, Fault: "none such"},
	} {
		_, err := HollowRun(t.Context(), invalid, 1)
		assert.Error(t, err, fmt.Sprint(invalid))
	}
}

// A run that ends early keeps its figures, marked partial; one that uses too much memory reports it
// in one line.
func TestHollowPartial(t *testing.T) {
	size := smallHollow()
	require.NoError(t, size.check())
	h, err := newHollow(t.Context(), size, 1)
	require.NoError(t, err)
	h.size.Memory = 1 << 20
	result, err := h.run(t.Context())
	require.ErrorIs(t, err, ErrHollowMemory)
	assert.Equal(t, err.Error(), result.Partial)
	assert.Contains(t, result.Partial, "12 dispatchers, 20 executors, 100 functions")
	assert.Contains(t, result.Partial, "and may take 0.00 GB")

	_, err = HollowRun(canceled(t), smallHollow(), 1)
	require.ErrorIs(t, err, context.Canceled)
	ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer stop()
	size.Span = 24 * time.Hour
	result, err = HollowRun(ctx, size, 1)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NotEmpty(t, result.Partial)
	assert.Contains(t, result.Figures, "calls")
}

// Documents a known fault: with one of 1,000 dispatchers missing, a digest exceeds the channel's
// size limit and is dropped. With 300 dispatchers all digests fit.
func TestHollowDigestsExceedChannelLimit(t *testing.T) {
	size := HollowSize{
		Dispatchers: 300, Executors: 10, Functions: 20, Calls: 2, Warm: 2400 * time.Millisecond,
		Span: 1600 * time.Millisecond, Fault: FaultOneDown,
	}
	result, err := HollowRun(t.Context(), size, 1)
	require.NoError(t, err)
	assert.Zero(t, result.Figures["texts.oversize"])
	assert.Greater(t, result.Figures["digests"], 0.5)
	size.Dispatchers = 1000
	result, err = HollowRun(t.Context(), size, 1)
	require.NoError(t, err)
	assert.Greater(t, result.Figures["texts.oversize"], 0.0)
	assert.Less(t, result.Figures["digests"], 0.5)
}
