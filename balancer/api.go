package balancer

type (
	// WorkerID identifies a worker.
	WorkerID uint32
	// FuncID identifies a function.
	FuncID uint64
	// Idempotency says what a repeat of a call may do.
	Idempotency int
	// IdempotencyScope says which workers drop repeats of a call with an idempotency key.
	IdempotencyScope int
)

// The kinds of idempotency. The zero value is the cautious one.
const (
	NotIdempotent Idempotency = iota
	IdempotentByKey
	Idempotent
)

// The scopes of an idempotency key: no worker, or those of the cell, of the zone, or all.
const (
	ScopeNone IdempotencyScope = iota
	ScopeCell
	ScopeZone
	ScopeAll
)

// EndpointUpdateKind says how to read an update of the endpoint list.
type EndpointUpdateKind int

const (
	// EndpointsDelta holds only the entries that changed.
	EndpointsDelta EndpointUpdateKind = iota
	// EndpointsSnapshot holds the complete list; a worker that is not in it was removed.
	EndpointsSnapshot
	// EndpointsCached holds the complete list as it was last known; it may be old.
	EndpointsCached
	// EndpointsUnavailable says that polling failed; it has no entries.
	EndpointsUnavailable
)

// EndpointState is what the endpoint list says of a worker.
type EndpointState int

// The states of an endpoint.
const (
	Removed EndpointState = iota
	Draining
	Active
)

// Endpoint is the entry of one worker in the list.
type Endpoint struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	State            EndpointState
	Weight           float64
	Start            int64 // when it started; 0: long ago
}

// Request is a client's call. The client stops waiting at Deadline.
type Request struct {
	ID            string
	Class, Tenant int
	Func          FuncID
	Deadline      int64
	MemoryMB      float64
	Concurrency   int   // requests that one copy of the function serves at a time
	LoadTime      int64 // usual time of a load; 0: not stated
	Retry         bool  // the client marks it as a retry of an earlier request
}

// Result is how an attempt, health check or load order ended.
type Result int

// The results.
const (
	OK Result = iota
	Error
	QueueFull
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
	NotLoaded
	NumResults // how many there are
)

// String returns the name that logs and journals carry.
func (r Result) String() string {
	if r < 0 || r >= NumResults {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"}[r]
}

// Warmth is what an answer says of the copy that it found.
type Warmth int

// The kinds of warmth: not stated, a loaded copy, a load that the call began or waited for, or that
// failed.
const (
	WarmthUnknown Warmth = iota
	WarmHit
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	ID                 string // of the request
	Attempt            int    // its index among the attempts of the request
	Worker             WorkerID
	Result             Result
	Finished           bool // no answer is owed for the request any more
	Warmth             Warmth
	ConcurrentRequests int // requests for the function that the worker held, where reported
	RTT                int64
	Report             []float64 // load report
}

// Host carries out the actions of a Balancer. Its methods are called from within the event that
// causes them.
type Host interface {
	// SendAttempt sends the next attempt of a request; until 0: it may take as long as the client
	// waits.
	SendAttempt(id string, w WorkerID, until int64)
	// CancelAttempt gives up an attempt that is in flight.
	CancelAttempt(id string, attempt int)
	// Reject is a final answer after which the client may try again, after a wait in nanoseconds.
	Reject(id string, wait int64)
	// Fail is a final answer after which the call may have run.
	Fail(id string)
	// OrderLoad orders copies of a function at a worker.
	OrderLoad(w WorkerID, f FuncID, count int)
	// OrderUnload orders all idle copies of a function at a worker to be unloaded.
	OrderUnload(w WorkerID, f FuncID)
	// HealthCheck asks a worker for a sign of life.
	HealthCheck(w WorkerID)
	// SendPeerMessage sends a datagram of up to 256 bytes to one other dispatcher by its index, or
	// to all if the index is below 0.
	SendPeerMessage(to int, data string)
	// SetTimer has HandleTimer called with ref after a delay in nanoseconds.
	SetTimer(delay int64, ref int64)
	// CountTowardLoadQuota takes that a call that came at a time counts toward the quota of load
	// orders. The platform counts no calls of functions that do not exist, so one counts once a
	// worker has served its function.
	CountTowardLoadQuota(at int64)
	// SubscribeEndpoints asks for the endpoint list and its updates.
	SubscribeEndpoints()
	// Log writes a line for operators.
	Log(text string)
}
