package rules

import (
	"time"

	"oakthread/internal/mutant"
)

const (
	// minIdleReused is how long a connection that has carried a request must be idle. The
	// platform's protocol has clients send a request again once that crosses the close of an idle
	// connection within 50 ms; twice that leaves room for a busy machine.
	minIdleReused = 100 * time.Millisecond
	// minIdleNew is how long a new connection must be idle: it is opened for a request, which may
	// still be on its way.
	minIdleNew = 250 * time.Millisecond
)

// CloseCause is what a client's connection would be closed for.
type CloseCause int

// Causes.
const (
	CloseForCapacity CloseCause = iota // all places are taken, and another client waits for one
	CloseForDrain                      // the dispatcher is out of service or shuts down
)

// MinIdleTime returns how long a client's connection must have been idle before it is closed in
// favour of another one. reused says that it has carried a request.
func MinIdleTime(reused bool) time.Duration {
	if reused {
		return minIdleReused
	}
	return minIdleNew
}

// ClientConn is the state of a client's connection.
type ClientConn struct {
	RequestInFlight bool          // a call that was read in full has not been answered
	PartlyRead      bool          // part of a request has been read, and its answer has not been written
	UnreadData      bool          // the kernel holds bytes that have not been read
	Reused          bool          // it has carried a request before
	Idle            time.Duration // since anything happened on it
}

// MayCloseClient decides whether a client's connection may be closed.
func MayCloseClient(conn ClientConn, cause CloseCause) Reason {
	faulty := mutant.On(mutant.CloseBusy)
	switch {
	case conn.RequestInFlight:
		return RequestInFlight
	case conn.PartlyRead && !faulty:
		return RequestPartlyRead
	case conn.UnreadData && !faulty:
		return UnreadData
	case cause == CloseForCapacity && !faulty && conn.Idle < MinIdleTime(conn.Reused):
		return TooRecent
	}
	return Allowed
}

// WorkerConn is the state of a connection to a worker.
type WorkerConn struct {
	ResponsePending bool // a request was begun on it, and its response has not ended
	Tainted         bool // it received bytes that belong to no response, or is about to be closed
}

// MayCloseWorker decides whether an idle connection to a worker may be closed in favour of another
// one.
func MayCloseWorker(conn WorkerConn) Reason {
	if conn.ResponsePending {
		return ResponsePending
	}
	return Allowed
}

// MayReuseWorker decides whether a connection to a worker may carry a further request.
func MayReuseWorker(conn WorkerConn) Reason {
	switch {
	case conn.Tainted && !mutant.On(mutant.ReuseTainted):
		return ConnectionTainted
	case conn.ResponsePending:
		return ResponsePending
	}
	return Allowed
}
