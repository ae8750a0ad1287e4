package streamlimit

import "time"

// connState is the state of one connection.
type connState struct {
	id          ConnID
	opened      time.Time
	streams     map[StreamID]*streamState
	orphans     int // requests that run on for streams that were reset
	resets      tokenBucket
	control     tokenBucket
	buffered    int64     // bytes of responses that wait for the client
	lastWritten time.Time // when the client last read bytes, or nothing was buffered
	lastStream  time.Time // when a stream was last open
	draining    bool
}

// streamState is the state of one stream.
type streamState struct {
	buffered  int64
	responded bool // the response is complete; its bytes may still wait for the client
}

// isStalled reports whether the client has read nothing for timeout while a response waits.
func (c *connState) isStalled(now time.Time, timeout time.Duration) bool {
	return c.buffered > 0 && now.Sub(c.lastWritten) >= timeout
}

// isIdle reports whether no stream has been open for timeout.
func (c *connState) isIdle(now time.Time, timeout time.Duration) bool {
	return len(c.streams) == 0 && now.Sub(c.lastStream) >= timeout
}

// bufferWeight is the cost of the connection's buffered bytes, which grows with the time for which the
// client has read nothing.
func (c *connState) bufferWeight(now time.Time) float64 {
	return float64(c.buffered) * (1 + now.Sub(c.lastWritten).Seconds())
}

// tokenBucket is a token bucket that counts the tokens spent. The zero value is full.
type tokenBucket struct {
	spent      float64
	refilledAt time.Time
}

// take takes a token, refilled at rate per second up to burst. It reports false if there is none.
func (b *tokenBucket) take(now time.Time, rate, burst float64) bool {
	b.spent = max(0, b.spent-rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
