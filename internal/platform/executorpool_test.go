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

// Guards the proof that nothing ran: a wait that ended before a connection came up wrote nothing.
func TestTimeoutBeforeAnyWriteIsNotSent(t *testing.T) {
	f := NewFleet(testSettings(t), 1)
	f.socketSlots <- struct{}{}
	assert.Equal(t, balancer.NotSent, f.Send(canceledContext(t), attemptTo(endpointAt("127.0.0.1:1"), "x")).Result)
	assert.Equal(t, balancer.NotSent, classifyFailure(canceledContext(t), true, context.Canceled))
}

// Guards memory on a long day: a Transport made for an executor already forgotten is dropped when unused.
func TestUnusedTransportsAreDropped(t *testing.T) {
	f := NewFleet(testSettings(t), 1)
	m := endpointAt("127.0.0.1:1")
	for i := range 20 {
		m.ID = balancer.WorkerID(i)
		f.transportsFor(m).lastUsed = time.Now().Add(-2 * unusedTransportsTTL)
	}
	assert.Len(t, f.executors, 1)
}

// Guards the last moment: a request that must not be written any more is not, on a new connection nor on a kept one, and
// what ends so proves that nothing ran.
func TestRevokedRequestsAreNotWritten(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	f.reuseDelay = 0 // connections are used again at once
	for _, kept := range []bool{false, true} {
		a := attemptTo(endpointAt(b.addr()), "x")
		if kept {
			require.Equal(t, balancer.OK, f.Send(t.Context(), a).Result)
		}
		before := len(b.requests())
		a.BeforeWrite = func() bool { return false }
		assert.Equal(t, balancer.NotSent, f.Send(t.Context(), a).Result)
		o := oakthread.LoadOrder{Worker: a.Worker, Key: a.Request.Key, Count: 1, BeforeWrite: a.BeforeWrite}
		assert.Equal(t, balancer.NotSent, f.Load(t.Context(), o).Result)
		a.BeforeWrite, a.Request.ID = nil, thirdID
		assert.Equal(t, balancer.OK, f.Send(t.Context(), a).Result)
		assert.Equal(t, []string{thirdID}, b.requests()[before:])
	}
}

// A connect that fails for want of this machine's tells nothing of the executor: it is tried again, and where it lasts
// the attempt never ran.
func TestLocalShortagesBlameNoExecutor(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETUNREACH, syscall.EPERM, syscall.EAGAIN,
	} {
		f := NewFleet(testSettings(t), 10)
		dial, fails := f.dialContext, 3
		f.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if fails--; fails >= 0 {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
			}
			return dial(ctx, network, addr)
		}
		assert.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(endpointAt(b.addr()), "x")).Result, "%v", errno)
		assert.EqualValues(t, 3, f.dialShortages.Load())
		f.Close()
		f = NewFleet(testSettings(t), 10)
		f.dialContext = func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", errno)}
		}
		assert.Equal(t, balancer.NotSent, f.Send(t.Context(), attemptTo(endpointAt(b.addr()), "x")).Result, "%v", errno)
		assert.Empty(t, f.socketSlots, "a place is still taken")
	}
}

// Guards the wait for a connection to settle: a few requests wait, until their time is over, and the next goes on at once.
func TestQueueForAReusableConnectionIsBounded(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	m := endpointAt(b.addr())
	require.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, "x")).Result)
	f.reuseDelay = time.Hour
	ctx, stop := context.WithCancel(t.Context())
	waits := make(chan balancer.Result, maxQueuedRequests)
	for range maxQueuedRequests {
		go func() { waits <- f.Send(ctx, attemptTo(m, "x")).Result }()
	}
	for waiting := 0; waiting < maxQueuedRequests; runtime.Gosched() {
		f.mu.Lock()
		waiting = f.executors[m.ID].queued
		f.mu.Unlock()
	}
	assert.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, "x")).Result)
	stop()
	for range maxQueuedRequests {
		assert.Equal(t, balancer.NotSent, <-waits)
	}
	assert.Len(t, b.requests(), 2)
}

// Guards the cost of that: once settled, a connection is used again.
func TestConnectionsAreReusedAfterTheDelay(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	for range 5 {
		f.reuseDelay = 0 // as if time had passed
		require.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(endpointAt(b.addr()), "x")).Result)
	}
	assert.Len(t, f.socketSlots, 1)
	assert.Len(t, f.executors[1].transports, 1)
}
