package balancer

import (
	"fmt"
	"math"
)

// DefaultMaxFunctions replaces a Settings.MaxFunctions of 0.
const DefaultMaxFunctions = 1 << 16

// minClockResolution is the minimum of Settings.ClockResolution: one millisecond, the resolution of
// times in the platform's messages.
const minClockResolution int64 = 1_000_000

// Class is a class of request. Times are nanoseconds.
type Class struct {
	LatencyObjective   int64 // target response time
	ClientTimeout      int64 // time after which the client stops waiting
	IdempotencyWindow  int64 // how long workers remember an idempotency key
	PriorityWeight     float64
	LatePriorityWeight float64 // priority weight of a request that misses the objective
	Idempotency        Idempotency
	IdempotencyScope   IdempotencyScope
}

// isValid reports whether the latency objective is positive and the other numbers are valid.
func (c *Class) isValid() bool {
	return c.LatencyObjective > 0 && c.hasValidFigures()
}

// hasValidFigures reports whether the durations other than the latency objective are not negative
// and the priority weight is not NaN.
func (c *Class) hasValidFigures() bool {
	return c.IdempotencyWindow >= 0 && c.ClientTimeout >= 0 && !math.IsNaN(c.PriorityWeight)
}

// Settings configure a Balancer. Times are nanoseconds. A zero value selects the safe behavior.
type Settings struct {
	Classes         []Class
	TenantQuota     []float64 // requests per second by tenant, over all dispatchers; 0: no limit
	OverQuotaWeight float64   // share of its priority that a request over its tenant's quota keeps
	DispatcherIndex int
	Dispatchers     int
	Zone            int
	ClockResolution int64 // smallest step of the clock between two events

	MaxAttempts     int
	FullScanLimit   int // maximum length of an endpoint list that each choice scans in full; 0: 256
	MaxInFlight     int // maximum number of pending requests; 0: no limit
	MaxFunctions    int // maximum number of functions that are remembered; 0: DefaultMaxFunctions
	Hedging         bool
	HealthChecks    bool
	Cancellation    bool
	Gossip          bool
	SendsRetryAfter bool // a rejection's Retry-After reaches the client
	MaxRetryAfter   int64

	InflightField       int  // 1 + index in a load report; 0: not reported
	QueueField          int  // the same
	ReportOnHealthCheck bool // load reports come only with health checks
	PollEndpoints       bool // the endpoint list is polled; else it is pushed
	PollInterval        int64

	// ConfirmInterval is the time between two calls of ConfirmEndpoints while discovery can be
	// reached; 0: there are no such calls, and a list without updates counts as current.
	ConfirmInterval int64
	// EndpointUpdateDelay is the time after which a change of the endpoint list is assumed to be
	// known, whether or not its update has arrived.
	EndpointUpdateDelay int64

	ResponseSlack     int64
	DrainGrace        int64
	SlowStartWindow   int64
	OverloadWindow    int64
	OverloadFactor    float64
	SlowStartCapacity float64 // share of its full capacity that a worker starts with

	LoadOrders         bool
	LoadsOnMiss        bool
	ReportsWarmth      bool
	ReportsConcurrency bool
	KeepAlive          int64 // how long an idle copy stays loaded
	LoadQuotaWindow    int64
	LoadOrderTimeout   int64
	LoadQuotaBase      float64
	LoadQuotaRatio     float64
	MemoryPrice        float64
	KindMemoryMB       []float64
	CrossZonePrice     float64
	WastePrice         float64
	ProbePrice         float64
	PeerPrice          float64 // price of a full datagram to another dispatcher
	LateFailurePrice   float64
	OriginPrice        float64 // price of a load
}

// validate returns an error if there are no classes, a class is invalid, or a duration is negative.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("balancer: Classes is empty")
	}
	for i := range s.Classes {
		if s.Classes[i].LatencyObjective <= 0 {
			return fmt.Errorf("balancer: Classes[%d].LatencyObjective must be above 0", i)
		}
		if !s.Classes[i].hasValidFigures() {
			return fmt.Errorf("balancer: Classes[%d]: negative duration or NaN PriorityWeight", i)
		}
	}
	for _, setting := range []struct {
		name  string
		value int64
	}{
		{"KeepAlive", s.KeepAlive},
		{"Cold", s.SlowStartWindow},
		{"Fall", s.OverloadWindow},
		{"DrainGrace", s.DrainGrace},
		{"ConfirmInterval", s.ConfirmInterval},
		{"EndpointUpdateDelay", s.EndpointUpdateDelay},
		{"LoadWindow", s.LoadQuotaWindow},
	} {
		if setting.value < 0 {
			return fmt.Errorf("balancer: %s is negative", setting.name)
		}
	}
	return nil
}
