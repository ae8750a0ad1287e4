package oakthread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/rules"
)

// atMillis returns the time ms milliseconds after the start of the test's time line.
func atMillis(ms int) time.Time {
	return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond)
}

// The quota on load orders is enforced when an order is issued and when its first byte is written,
// and load orders are sent only for functions that have been requested.
func TestLoadOrdersStayWithinQuota(t *testing.T) {
	t.Run("when issued", func(t *testing.T) {
		limiter := loadOrderLimiter{window: 5 * time.Second, quota: rules.LoadQuota{Base: 2, Ratio: 0.5}}
		for _, order := range []struct {
			ms, requests int
			allowed      bool
		}{
			{0, 0, true}, {1, 0, true}, {2, 0, false}, {3, 2, true}, {4, 0, false}, {5100, 0, false}, {5400, 0, true},
		} {
			for range order.requests {
				limiter.count(atMillis(order.ms))
			}
			assert.Equal(t, order.allowed, limiter.reserve(atMillis(order.ms)) != nil, "after %d ms", order.ms)
		}
	})
	t.Run("when written", func(t *testing.T) {
		limiter := loadOrderLimiter{window: 5 * time.Second, quota: rules.LoadQuota{Base: 1, Ratio: 0.5}}
		limiter.count(atMillis(2))
		limiter.count(atMillis(0)) // counted late: its function was not known before
		assert.Equal(t, []time.Time{atMillis(0), atMillis(2)}, limiter.requests)
		first, late := limiter.reserve(atMillis(4000)), limiter.reserve(atMillis(4000))
		require.NotNil(t, first)
		require.NotNil(t, late)
		assert.True(t, limiter.write(first, atMillis(4100)))
		assert.False(t, limiter.write(late, atMillis(5000)), "the requests that allowed it are no longer in the window")
		limiter.release(late)
		assert.Nil(t, limiter.reserve(atMillis(5000)))
		limiter.release(first)
		assert.NotNil(t, limiter.reserve(atMillis(5000)))
		assert.True(t, limiter.write(nil, atMillis(5000)), "an order of zero copies is not limited")
		limiter.count(atMillis(60_000))
		assert.Len(t, limiter.requests, 1, "requests older than the window are removed")
	})
	t.Run("for requested functions only", func(t *testing.T) {
		workers := newFakeWorkers()
		core := newTestCore(t, workers, nil)
		core.post(func() {
			host{core}.OrderLoad(1, 99, 1)
			host{core}.OrderUnload(1, 99)
		})
		assert.Equal(t, int64(1), core.Counters().LoadOrdersWithheld)
		assert.Empty(t, workers.orders)
	})
}

// Guards against memory that grows with functions that nobody has called before: the functions
// requested least recently are forgotten.
func TestRecentFunctionsAreBounded(t *testing.T) {
	const limit = 100
	recent := recentFunctions{entries: map[balancer.FuncID]recentFunction{}, limit: limit}
	now := time.Unix(1000, 0)
	for i := range 10_000 {
		now = now.Add(time.Microsecond)
		recent.add(balancer.FuncID(i), "key", now)
		require.LessOrEqual(t, len(recent.entries), limit)
		require.Contains(t, recent.entries, balancer.FuncID(i))
	}
}
