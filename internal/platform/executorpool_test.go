package platform

import (
	"context"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// An attempt that times out before a connection is established is classified as not sent.
func TestTimeoutBeforeAnyWriteIsNotSent(t *testing.T) {
	pool := NewExecutorPool(testSettings(t), testClasses(t), 1)
	pool.socketSlots <- struct{}{}
	attempt := attemptTo(endpointAt("127.0.0.1:1"), "x")
	assert.Equal(t, balancer.NotSent, pool.Send(canceledContext(t), attempt).Result)
	assert.Equal(t, balancer.NotSent, classifyFailure(canceledContext(t), true, context.Canceled))
}

// Transports that were created for a removed executor are removed once they have been unused for
// long enough.
func TestUnusedTransportsAreDropped(t *testing.T) {
	pool := NewExecutorPool(testSettings(t), testClasses(t), 1)
	endpoint := endpointAt("127.0.0.1:1")
	for i := range 20 {
		endpoint.ID = balancer.WorkerID(i)
		pool.transportsFor(endpoint).lastUsed = time.Now().Add(-2 * unusedTransportsTTL)
	}
	assert.Len(t, pool.executors, 1)
}

// A request that is revoked right before its first byte is not written, neither on a new connection
// nor on a reused one, and is classified as not sent.
func TestRevokedRequestsAreNotWritten(t *testing.T) {
	executor := newRecordingExecutor(t, nil)
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	defer pool.Close()
	pool.reuseDelay = 0 // connections can be reused at once
	for _, reused := range []bool{false, true} {
		attempt := attemptTo(endpointAt(executor.addr()), "x")
		if reused {
			require.Equal(t, balancer.OK, pool.Send(t.Context(), attempt).Result)
		}
		before := len(executor.requests())
		attempt.BeforeWrite = func() bool { return false }
		assert.Equal(t, balancer.NotSent, pool.Send(t.Context(), attempt).Result)
		order := oakthread.LoadOrder{
			Worker: attempt.Worker, Key: attempt.Request.Key, Count: 1, BeforeWrite: attempt.BeforeWrite,
		}
		assert.Equal(t, balancer.NotSent, pool.Load(t.Context(), order).Result)
		attempt.BeforeWrite, attempt.Request.ID = nil, thirdID
		assert.Equal(t, balancer.OK, pool.Send(t.Context(), attempt).Result)
		assert.Equal(t, []string{thirdID}, executor.requests()[before:])
	}
}

// A connect that fails for lack of local resources says nothing about the executor: it is retried,
// and if it keeps failing, the attempt is classified as not sent.
func TestLocalDialFailuresAreNotExecutorFailures(t *testing.T) {
	executor := newRecordingExecutor(t, nil)
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETUNREACH, syscall.EPERM, syscall.EAGAIN,
	} {
		pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
		dial, failures := pool.dialContext, 3
		pool.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if failures--; failures >= 0 {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
			}
			return dial(ctx, network, addr)
		}
		reply := pool.Send(t.Context(), attemptTo(endpointAt(executor.addr()), "x"))
		assert.Equal(t, balancer.OK, reply.Result, "%v", errno)
		assert.EqualValues(t, 3, pool.localDialFailures.Load())
		pool.Close()
		pool = NewExecutorPool(testSettings(t), testClasses(t), 10)
		pool.dialContext = func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", errno)}
		}
		reply = pool.Send(t.Context(), attemptTo(endpointAt(executor.addr()), "x"))
		assert.Equal(t, balancer.NotSent, reply.Result, "%v", errno)
		assert.Empty(t, pool.socketSlots, "a failed dial did not free its slot")
	}
}

// Up to maxQueuedRequests requests wait for a connection's reuse delay, at most until they are
// cancelled; further ones get a new connection at once.
func TestQueueForAReusableConnectionIsBounded(t *testing.T) {
	executor := newRecordingExecutor(t, nil)
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	defer pool.Close()
	endpoint := endpointAt(executor.addr())
	require.Equal(t, balancer.OK, pool.Send(t.Context(), attemptTo(endpoint, "x")).Result)
	pool.reuseDelay = time.Hour
	ctx, stop := context.WithCancel(t.Context())
	results := make(chan balancer.Result, maxQueuedRequests)
	for range maxQueuedRequests {
		go func() { results <- pool.Send(ctx, attemptTo(endpoint, "x")).Result }()
	}
	for queued := 0; queued < maxQueuedRequests; runtime.Gosched() {
		pool.mu.Lock()
		queued = pool.executors[endpoint.ID].queued
		pool.mu.Unlock()
	}
	assert.Equal(t, balancer.OK, pool.Send(t.Context(), attemptTo(endpoint, "x")).Result)
	stop()
	for range maxQueuedRequests {
		assert.Equal(t, balancer.NotSent, <-results)
	}
	assert.Len(t, executor.requests(), 2)
}

// A connection is reused once its reuse delay has elapsed.
func TestConnectionsAreReusedAfterTheDelay(t *testing.T) {
	executor := newRecordingExecutor(t, nil)
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	defer pool.Close()
	for range 5 {
		pool.reuseDelay = 0 // as if the delay had elapsed
		require.Equal(t, balancer.OK, pool.Send(t.Context(), attemptTo(endpointAt(executor.addr()), "x")).Result)
	}
	assert.Len(t, pool.socketSlots, 1)
	assert.Len(t, pool.executors[1].transports, 1)
}
