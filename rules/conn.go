package rules

import (
	"time"

	"oakthread/internal/mutant"
)

const (
	// minIdleReused is the minimum idle time of a connection that has carried a request. By the
	// platform's protocol a client resends, once, a request that crosses the close of an idle
	// connection within 50 ms; twice that leaves a margin for a busy machine.
	minIdleReused = 100 * time.Millisecond
	// minIdleNew is the minimum idle time of a new connection. A client opens a connection to send
	// a request, which may still be in transit.
	minIdleNew = 250 * time.Millisecond
)

// CloseCause is the reason for closing a client's connection.
type CloseCause int

// Causes of closing a client's connection.
const (
	CloseForCapacity CloseCause = iota // the connection limit is reached, and another client waits to connect
	CloseForDrain                      // the dispatcher is out of service or shuts down
)

// String returns the text of the cause in logs.
func (c CloseCause) String() string {
	if c == CloseForDrain {
		return "drain"
	}
	return "capacity"
}

// MinIdleTime returns how long a client's connection must have been idle before it may be closed to
// make room for another client, or in a drain if it is new. reused states that the connection has carried a request.
func MinIdleTime(reused bool) time.Duration {
	if reused {
		return minIdleReused
	}
	return minIdleNew
}

// ClientConn is the state of a client's connection.
type ClientConn struct {
	RequestInFlight bool          // a request that was read in full has not been answered
	PartlyRead      bool          // part of a request has been read, and its response has not been written
	UnreadData      bool          // the kernel's receive buffer holds bytes that have not been read
	Reused          bool          // the connection has carried a request before
	Idle            time.Duration // time since the last activity on the connection
}

// MayCloseClient decides whether a client's connection may be closed for a cause.
func MayCloseClient(conn ClientConn, cause CloseCause) Reason {
	faulty := mutant.On(mutant.CloseBusy)
	switch {
	case conn.RequestInFlight:
		return RequestInFlight
	case conn.PartlyRead && !faulty:
		return RequestPartlyRead
	case conn.UnreadData && !faulty:
		return UnreadData
	case mustStayIdle(conn, cause) && !faulty && conn.Idle < MinIdleTime(conn.Reused):
		return TooRecent
	}
	return Allowed
}

// mustStayIdle reports whether a connection must have been idle for MinIdleTime before it is closed
// for a cause. In a drain that holds for new connections only: a client sends a request again that
// crosses the close of a connection that it has used.
func mustStayIdle(conn ClientConn, cause CloseCause) bool {
	return cause == CloseForCapacity || !conn.Reused
}

// WorkerConn is the state of a connection to a worker.
type WorkerConn struct {
	ResponsePending bool // a request was started on it, and its response has not ended
	Tainted         bool // it received bytes outside of a response, or is about to be closed
}

// MayCloseWorker decides whether a connection to a worker may be closed to make room for another
// one.
func MayCloseWorker(conn WorkerConn) Reason {
	if conn.ResponsePending {
		return ResponsePending
	}
	return Allowed
}

// MayReuseWorker decides whether a connection to a worker may carry another request.
func MayReuseWorker(conn WorkerConn) Reason {
	switch {
	case conn.Tainted && !mutant.On(mutant.ReuseTainted):
		return ConnectionTainted
	case conn.ResponsePending:
		return ResponsePending
	}
	return Allowed
}
