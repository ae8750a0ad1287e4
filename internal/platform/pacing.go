package platform

import (
	"context"
	"time"

	"oakthread/ingress"
)

// maxDrainWait limits the wait of a request in a drain, in which it must be answered before the
// earliest SIGKILL.
const maxDrainWait = 50 * time.Millisecond

// pace waits until the pacer lets the request that has just been read be handled, or until ctx
// ends.
func (c *clientConn) pace(ctx context.Context, bodyBytes int64) {
	wait := c.limiter.requestDelay(c, bodyBytes)
	if wait <= 0 {
		return
	}
	c.limiter.paced.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestDelay returns how long the request that has just been read on a connection waits.
func (l *connLimiter) requestDelay(conn *clientConn, bodyBytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := ingress.Request{Pipelined: conn.nextPipelined, BodyBytes: bodyBytes}
	wait := l.pacer.Next(time.Now(), &conn.flow, request)
	if l.stopping {
		return min(wait, maxDrainWait)
	}
	return wait
}

// noteIfPipelined records whether bytes of the next request have arrived. It is called once the whole
// request is read and before any byte of the answer is written, upon which the client may send its next
// one. c is nil for a connection without a limiter.
func (c *clientConn) noteIfPipelined() {
	if c != nil {
		c.nextPipelined = c.limiter.hasPipelinedData(c)
	}
}

// paceAccept waits until the next connection may be accepted, or until stopAccepting.
func (l *connLimiter) paceAccept() {
	wait := l.acceptDelay()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.Stopped():
	}
}

// acceptDelay returns how long to wait before the next connection is accepted.
func (l *connLimiter) acceptDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return 0
	}
	return l.accepts.Next(time.Now())
}
