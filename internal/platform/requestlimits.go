package platform

import (
	"errors"
	"io"
	"time"

	"oakthread/ingress"
	"oakthread/internal/neterr"
)

const (
	// lingerTimeout limits the time in which the rest of a refused request is read and discarded.
	// Closing a connection that holds unread bytes resets it, and the client may lose the answer.
	lingerTimeout = 250 * time.Millisecond
	// maxLingerBytes limits how much of it is read.
	maxLingerBytes = 64 << 10
	// bufferedBytes is the size of net/http's buffer, which may hold a part of the next request.
	bufferedBytes = 4 << 10
)

// requestRefusedError ends the reading of a request that is refused before it is complete.
type requestRefusedError struct{ reason ingress.Refusal }

func (e requestRefusedError) Error() string { return "request refused: " + e.reason.String() }

// refusalResponses are the responses to requests that are refused while their head arrives, when no
// handler has been called yet.
var refusalResponses = map[ingress.Refusal]string{
	ingress.TooManyFields: "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
		"Connection: close\r\nContent-Length: 0\r\n\r\n",
	ingress.MemoryExhausted: "HTTP/1.1 503 Service Unavailable\r\n" +
		"Connection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// countReadAhead counts bytes that were read ahead on a connection toward the memory of requests. It
// reports whether they fit.
func (l *connLimiter) countReadAhead(conn *clientConn, bytes int) (fits bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.aheadBytes += int64(bytes)
	return l.memory.Set(&conn.holding, conn.holding.Bytes()+int64(bytes))
}

// countBytes counts bytes that were read on a connection toward the memory of requests. If that is
// exhausted, it has the slowest unfinished requests refused. The caller holds mu.
func (l *connLimiter) countBytes(conn *clientConn, bytes int) {
	holding := &conn.holding
	switch {
	case !conn.tracker.isUnfinished() || conn.requestInFlight:
		holding.Began = time.Time{}
	case holding.Began.IsZero():
		holding.Began = conn.lastActivity
	}
	fits := l.memory.Set(holding, holding.Bytes()+int64(bytes))
	for !fits && l.refuseSlowest() {
		fits = l.memory.Fits()
	}
	conn.exceedsMemory = !fits
}

// releaseAnswered releases what an answered request held, except for what may have been read of the
// next one. The caller holds mu.
func (l *connLimiter) releaseAnswered(conn *clientConn) {
	held := conn.aheadBytes
	if conn.partlyRead {
		held += bufferedBytes
	}
	l.memory.Set(&conn.holding, min(conn.holding.Bytes(), held))
}

// refuseSlowest has the request refused that has been arriving for longest, and releases what it
// holds. It reports whether there is one. The caller holds mu.
func (l *connLimiter) refuseSlowest() bool {
	var slowest *clientConn
	for conn := range l.conns {
		if conn.holding.IsEvictable() && (slowest == nil || conn.holding.SlowerThan(&slowest.holding)) {
			slowest = conn
		}
	}
	if slowest == nil {
		return false
	}
	slowest.refusal = ingress.MemoryExhausted
	l.memory.Set(&slowest.holding, 0)
	slowest.holding.Began = time.Time{}
	slowest.interruptRead()
	return true
}

// checkDispatch returns why the complete request on a connection must not be dispatched. It may exceed
// the memory of requests, if no unfinished request is left to be refused. Or so many bytes may be
// unread after it that clientMayHaveLeft will hold and the request could not be written.
func (l *connLimiter) checkDispatch(conn *clientConn) ingress.Refusal {
	l.mu.Lock()
	exceedsMemory := conn.exceedsMemory && !l.memory.Fits()
	// Read before unreadBytes: bytes that are read ahead in between must not count twice.
	readAheadRoom := max(maxReadAheadBytes-int(conn.aheadBytes), 0)
	l.mu.Unlock()
	switch {
	case exceedsMemory:
		return ingress.MemoryExhausted
	case unreadBytes(conn.Conn) >= hiddenCloseBytes+readAheadRoom:
		return ingress.TooMuchPipelined
	}
	return ingress.Accepted
}

// takeRefusal returns why the unfinished request of a connection is refused, and forgets the reason
// if no request is unfinished any more.
func (l *connLimiter) takeRefusal(conn *clientConn) ingress.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.requestInFlight || !conn.tracker.isUnfinished() {
		if conn.refusal != ingress.Accepted { // its read was interrupted when it was complete
			conn.refusal = ingress.Accepted
			_ = conn.restoreDeadline()
		}
		return ingress.Accepted
	}
	if conn.refusal == ingress.Accepted {
		conn.refusal = ingress.CheckHead(conn.tracker.framer.headFields())
	}
	return conn.refusal
}

// noteRefusal counts and logs a refusal.
func (l *connLimiter) noteRefusal(conn *clientConn, reason ingress.Refusal) {
	l.refusals[reason].Add(1)
	l.log.Debug("client request refused", "reason", reason.String(), "client", conn.RemoteAddr().String())
}

// interruptRead ends a read that is in progress, whose caller then asks for a refusal.
func (c *clientConn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// refuseUnfinished refuses the unfinished request on the connection if it must not be read on, and
// returns the error that ends its reading. While a head arrives, it writes the response itself, and
// returns a timeout, after which net/http closes the connection. Later the handler responds.
func (c *clientConn) refuseUnfinished() error {
	if c.refused != nil {
		return c.refused
	}
	reason := c.limiter.takeRefusal(c)
	if reason == ingress.Accepted {
		return nil
	}
	c.limiter.noteRefusal(c, reason)
	if c.tracker.framer.inBody {
		return c.refuse(requestRefusedError{reason})
	}
	_, _ = io.WriteString(c, refusalResponses[reason])
	return c.refuse(errHeadRefused)
}

// refuse ends all reads of the connection with err, which it returns.
func (c *clientConn) refuse(err error) error {
	c.refused = err
	c.lingers.Store(true)
	return err
}

// errHeadRefused is a timeout to net/http, which then writes no response of its own.
var errHeadRefused error = headRefusedError{}

type headRefusedError struct{}

func (headRefusedError) Error() string   { return "request refused while its head arrived" }
func (headRefusedError) Timeout() bool   { return true }
func (headRefusedError) Temporary() bool { return false }

// discardUnread ends the sending side of the connection and discards what its client still sends,
// for lingerTimeout at the longest.
func (c *clientConn) discardUnread() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buffer := make([]byte, readAheadChunkBytes)
	for left := maxLingerBytes; left > 0; {
		n, err := neterr.Read(c.Conn, buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// refusalOf returns the reason for which an error ends the reading of a request, Accepted if it is
// another error.
func refusalOf(err error) ingress.Refusal {
	var refused requestRefusedError
	if errors.As(err, &refused) {
		return refused.reason
	}
	return ingress.Accepted
}
