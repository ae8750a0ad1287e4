package balancer

// WorkerID names a worker; FuncID a function. Times are nanoseconds of the host's clock.
type (
	WorkerID         uint32
	FuncID           uint64
	Idempotency      int // what a repeat of a call may do
	IdempotencyScope int // which workers drop repeats of a keyed call
)

const (
	NotIdempotent Idempotency = iota // the zero value is the cautious one
	IdempotentByKey
	Idempotent
)

const (
	ScopeNone IdempotencyScope = iota // no worker is known to drop repeats
	ScopeCell
	ScopeZone
	ScopeAll
)

// Class is a class of request. Aim is the wanted time, GiveUp the client's whole patience.
type Class struct {
	LatencyObjective, ClientTimeout, IdempotencyWindow int64
	PriorityWeight, LatePriorityWeight                 float64
	Idempotency                                        Idempotency
	IdempotencyScope                                   IdempotencyScope
}

// Settings are what the deployment tells at start. Zero values are read in the cautious way.
type Settings struct {
	Classes                      []Class
	TenantQuota                  []float64 // requests a second within each tenant's share, all dispatchers together
	OverQuotaWeight              float64   // part of its worth that a request over its tenant's share keeps
	DispatcherIndex, Dispatchers int       // this dispatcher's number, and how many there are
	Zone                         int
	ClockResolution              int64 // least time between two events' clocks

	MaxAttempts                                                  int
	FullScanLimit                                                int  // lists up to so long are looked through whole for a choice; 0: 256
	MaxInFlight                                                  int  // calls that can be in hand at a time; 0: no limit
	Hedging, HealthChecks, Cancellation, Gossip, SendsRetryAfter bool // Tells: a refusal's wait reaches clients
	MaxRetryAfter                                                int64

	InflightField, QueueField int  // 1 + place in a load report; 0: not reported
	ReportOnHealthCheck       bool // reports come only with probes
	PollEndpoints             bool // the roster must be asked for; else it is pushed
	PollInterval              int64

	ResponseSlack, DrainGrace, SlowStartWindow, OverloadWindow int64
	OverloadFactor, SlowStartCapacity                          float64

	LoadOrders, LoadsOnMiss, ReportsWarmth, ReportsConcurrency bool
	KeepAlive, LoadQuotaWindow, LoadOrderTimeout               int64
	LoadQuotaBase, LoadQuotaRatio, MemoryPrice                 float64
	KindMemoryMB                                               []float64
	CrossZonePrice, WastePrice, ProbePrice                     float64
	PeerPrice, LateFailurePrice, OriginPrice                   float64
}

// EndpointUpdateKind tells how to read a Roster event.
type EndpointUpdateKind int

const (
	EndpointsDelta       EndpointUpdateKind = iota // only the entries that changed
	EndpointsSnapshot                              // all of the list; a worker not in it is gone
	EndpointsCached                                // all of the list as it was last known; may be old
	EndpointsUnavailable                           // asking failed; no entries
)

// EndpointState is what the roster says of a worker.
type EndpointState int

const (
	Removed EndpointState = iota
	Draining
	Active
)

// Endpoint is one worker of the roster. Start 0: it started long ago.
type Endpoint struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	State            EndpointState
	Weight           float64
	Start            int64
}

// Request is a client's call. The client stops waiting at Deadline.
type Request struct {
	ID            string
	Class, Tenant int
	Func          FuncID
	Deadline      int64
	MemoryMB      float64
	Concurrency   int
	LoadTime      int64 // usual time of a load; 0: not told
	Retry         bool
}

// Result is how an attempt, probe or order ended.
type Result int

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

func (r Result) String() string {
	if r < 0 || r >= NumResults {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"}[r]
}

// Warmth is what an answer tells of the copy it found.
type Warmth int

const (
	WarmthUnknown Warmth = iota
	WarmHit
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// AttemptResult is the end of an attempt. Finished: nothing more is owed for the request.
type AttemptResult struct {
	ID                 string
	Attempt            int
	Worker             WorkerID
	Result             Result
	Finished           bool
	Warmth             Warmth
	ConcurrentRequests int // requests for the function that the worker held, where told
	RTT                int64
	Report             []float64
}

// Host carries out the actions. Calls are made from within the event that causes them.
type Host interface {
	SendAttempt(id string, w WorkerID, until int64) // until 0: as long as the client waits
	CancelAttempt(id string, attempt int)
	Reject(id string, wait int64)
	Fail(id string)
	OrderLoad(w WorkerID, f FuncID, count int)
	OrderUnload(w WorkerID, f FuncID)
	HealthCheck(w WorkerID)
	SendPeerMessage(to int, data string) // to one other dispatcher by its number, to all if below 0; 256 bytes at most
	SetTimer(delay int64, ref int64)
	// CountTowardLoadQuota tells that a call, which came at a time, counts as taken for the ration of orders. The platform counts no calls
	// of functions that do not exist, so one counts once a worker has served its function.
	CountTowardLoadQuota(at int64)
	SubscribeEndpoints() // subscribe to the roster
	Log(text string)
}
