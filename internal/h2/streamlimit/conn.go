package streamlimit

import "time"

// connState is the state of one connection.
type connState struct {
	id          ConnID
	opened      time.Time
	streams     map[StreamID]*streamState
	orphans     int // requests still running whose streams were reset
	resets      tokenBucket
	control     tokenBucket
	buffered    int64     // response bytes that the client has not read yet
	lastWritten time.Time // when the client last read bytes, or when buffering began
	lastStream  time.Time // when a stream was last opened or closed
	draining    bool
}

// streamState is the state of one stream.
type streamState struct {
	buffered  int64
	responded bool // the response is complete; the client may not have read all of it
}

// isStalled reports whether the client has read nothing for timeout while response bytes are
// buffered.
func (c *connState) isStalled(now time.Time, timeout time.Duration) bool {
	return c.buffered > 0 && now.Sub(c.lastWritten) >= timeout
}

// isIdle reports whether the connection has had no open stream for timeout.
func (c *connState) isIdle(now time.Time, timeout time.Duration) bool {
	return len(c.streams) == 0 && now.Sub(c.lastStream) >= timeout
}

// bufferWeight returns the cost of the connection's buffered bytes. It grows with the time since
// the client last read.
func (c *connState) bufferWeight(now time.Time) float64 {
	return float64(c.buffered) * (1 + now.Sub(c.lastWritten).Seconds())
}

// tokenBucket is a token bucket. It counts the tokens spent, so that the zero value is full.
type tokenBucket struct {
	spent      float64
	refilledAt time.Time
}

// take refills the bucket at rate tokens per second up to burst, and takes a token. It reports
// false if there is none.
func (b *tokenBucket) take(now time.Time, rate, burst float64) bool {
	b.spent = max(0, b.spent-rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
