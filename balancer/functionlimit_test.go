package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against memory that grows while a client calls ever new functions, and names deadlines far
// ahead: what is remembered of them is bounded, while served functions and pending requests stay.
func TestNewFunctionsTakeBoundedMemory(t *testing.T) {
	const limit, served, pending, calls = 512, 100, 10, 100_000
	settings := testSettings(Idempotent, ScopeNone)
	settings.MaxFunctions = limit
	balancer, host := newTestBalancer(t, settings, 4)
	now := int64(1)
	for i := range served {
		id := fmt.Sprint("served", i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(1+i)))
		balancer.HandleAttemptResult(now, successful(id, host.lastWorker[id]))
	}
	for i := range pending {
		balancer.HandleRequest(now, testRequest(fmt.Sprint("pending", i), now, FuncID(1000+i)))
	}
	for i := range calls {
		now += ms / 10
		id := fmt.Sprint("new", i)
		request := testRequest(id, now, FuncID(10_000+i))
		request.Deadline = now + 3600*1000*ms
		balancer.HandleRequest(now, request)
		balancer.HandleClientGone(now, id)
		for number := range settings.MaxAttempts {
			balancer.HandleAttemptResult(now, AttemptResult{
				ID: id, Attempt: number, Worker: host.lastWorker[id], Result: Error, Finished: true,
			})
		}
		if i%200 == 0 {
			balancer.HandleTimer(now, host.timerRef)
		}
		require.LessOrEqual(t, len(balancer.holders.functions), limit)
	}
	holders := 0
	for _, worker := range balancer.endpoints.byID {
		holders += len(worker.holders)
	}
	assert.LessOrEqual(t, holders, limit*len(balancer.endpoints.byID), "holders at workers")
	assert.Less(t, len(balancer.timers.entries), 5*minSweptEntries, "timer entries")
	for i := range served {
		assert.NotNil(t, balancer.holders.lookup(FuncID(1+i)), "a served function")
	}
	for i := range pending {
		assert.NotNil(t, balancer.holders.lookup(FuncID(1000+i)), "a function with a pending request")
	}
}
