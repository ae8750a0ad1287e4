package balancer

type (
	// WorkerID identifies a worker.
	WorkerID uint32
	// FuncID identifies a function.
	FuncID uint64
	// Idempotency says whether a call may be executed more than once.
	Idempotency int
	// IdempotencyScope says which workers deduplicate calls by idempotency key.
	IdempotencyScope int
)

// The kinds of idempotency. The zero value, NotIdempotent, is the safe default.
const (
	NotIdempotent Idempotency = iota
	IdempotentByKey
	Idempotent
)

// The scopes of an idempotency key: no worker, the workers of the same cell, those of the same
// zone, or all workers.
const (
	ScopeNone IdempotencyScope = iota
	ScopeCell
	ScopeZone
	ScopeAll
)

// EndpointUpdateKind says how to interpret an update of the endpoint list.
type EndpointUpdateKind int

const (
	// EndpointsDelta holds only the entries that changed.
	EndpointsDelta EndpointUpdateKind = iota
	// EndpointsSnapshot holds the complete list; a worker that is not in it was removed.
	EndpointsSnapshot
	// EndpointsCached holds the complete list from a cache; it may be outdated.
	EndpointsCached
	// EndpointsUnavailable says that polling failed; it has no entries.
	EndpointsUnavailable
)

// EndpointState is the state of a worker in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Removed EndpointState = iota
	Draining
	Active
)

// Endpoint is the entry of one worker in the endpoint list.
type Endpoint struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	State            EndpointState
	Weight           float64
	Start            int64 // when the worker started, in nanoseconds; 0: long ago
}

// Request is a client's call. The client stops waiting at Deadline. Times are nanoseconds.
type Request struct {
	ID            string
	Class, Tenant int
	Func          FuncID
	Deadline      int64
	MemoryMB      float64
	Concurrency   int   // requests that one copy of the function serves at a time
	LoadTime      int64 // usual duration of a load; 0: unknown
	Retry         bool  // the client marks it as a retry of an earlier request
}

// Result is the outcome of an attempt, health check or load order.
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
	NumResults // number of results
)

// String returns the name used in logs and journals.
func (r Result) String() string {
	if r < 0 || r >= NumResults {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"}[r]
}

// Warmth is what an answer says about the copy of the function that served the call.
type Warmth int

// The kinds of warmth: not reported, a loaded copy, a load that the call started, a load that it
// waited for, or a load that failed.
const (
	WarmthUnknown Warmth = iota
	WarmHit
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// AttemptResult reports the end of an attempt. RTT is in nanoseconds.
type AttemptResult struct {
	ID                 string // of the request
	Attempt            int    // its index among the attempts of the request
	Worker             WorkerID
	Result             Result
	Finished           bool // the request needs no further answer
	Warmth             Warmth
	ConcurrentRequests int // requests for the function at the worker, where reported
	RTT                int64
	Report             []float64 // load report
}

// Host carries out the actions of a Balancer. Its methods are called synchronously from the Handle
// method that causes them. Times are nanoseconds.
type Host interface {
	// SendAttempt sends the next attempt of a request. The attempt ends at until; 0: it may take as
	// long as the client waits.
	SendAttempt(id string, worker WorkerID, until int64)
	// CancelAttempt cancels an attempt that is in flight.
	CancelAttempt(id string, attempt int)
	// Reject gives the final answer to a request that the client may safely send again, after a
	// wait in nanoseconds.
	Reject(id string, wait int64)
	// Fail gives the final answer to a request that may have run.
	Fail(id string)
	// OrderLoad orders a worker to load count copies of a function.
	OrderLoad(worker WorkerID, function FuncID, count int)
	// OrderUnload orders a worker to unload all idle copies of a function.
	OrderUnload(worker WorkerID, function FuncID)
	// HealthCheck sends a health check to a worker.
	HealthCheck(worker WorkerID)
	// SendPeerMessage sends a datagram of up to 256 bytes to one other dispatcher by its index, or
	// to all of them if the index is negative.
	SendPeerMessage(to int, data string)
	// SetTimer calls HandleTimer with ref after a delay in nanoseconds.
	SetTimer(delay int64, ref int64)
	// CountTowardLoadQuota records a call that arrived at the given time for the quota of load
	// orders. The platform does not count calls of functions that do not exist, so a call is
	// counted only once a worker has served its function.
	CountTowardLoadQuota(at int64)
	// SubscribeEndpoints requests the endpoint list and its updates.
	SubscribeEndpoints()
	// Log writes a line for operators.
	Log(text string)
}
