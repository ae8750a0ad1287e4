package balancer

import (
	"fmt"
	"math"
)

// minClockResolution is the least resolution assumed of the host's clock, one millisecond: that of
// the platform's messages.
const minClockResolution int64 = 1_000_000

// Class is a class of request. Times are nanoseconds.
type Class struct {
	LatencyObjective   int64 // wanted response time
	ClientTimeout      int64 // after which the client stops waiting
	IdempotencyWindow  int64 // for which workers know an idempotency key
	PriorityWeight     float64
	LatePriorityWeight float64 // of a request that misses the objective
	Idempotency        Idempotency
	IdempotencyScope   IdempotencyScope
}

// isValid reports whether a class has a positive latency objective and figures that can be read.
func (c *Class) isValid() bool {
	return c.LatencyObjective > 0 && c.hasValidFigures()
}

// hasValidFigures reports whether all figures but the latency objective can be read.
func (c *Class) hasValidFigures() bool {
	return c.IdempotencyWindow >= 0 && c.ClientTimeout >= 0 && !math.IsNaN(c.PriorityWeight)
}

// Settings are what the deployment states at the start. Times are nanoseconds. Zero values are read
// in the cautious way.
type Settings struct {
	Classes         []Class
	TenantQuota     []float64 // requests a second by tenant, at all dispatchers together; 0: no limit
	OverQuotaWeight float64   // share of its priority that a request over its tenant's quota keeps
	DispatcherIndex int
	Dispatchers     int
	Zone            int
	ClockResolution int64 // least time between the clocks of two events

	MaxAttempts     int
	FullScanLimit   int // length up to which a list is scanned in full for a choice; 0: 256
	MaxInFlight     int // requests in hand at a time; 0: no limit
	Hedging         bool
	HealthChecks    bool
	Cancellation    bool
	Gossip          bool
	SendsRetryAfter bool // a rejection's Retry-After reaches the client
	MaxRetryAfter   int64

	InflightField       int  // 1 + index in a load report; 0: not reported
	QueueField          int  // the same
	ReportOnHealthCheck bool // load reports come only with health checks
	PollEndpoints       bool // the endpoint list must be asked for; else it is pushed
	PollInterval        int64

	// ConfirmInterval is the time between two calls of ConfirmEndpoints while discovery can be reached;
	// 0: there are none, and a list without updates counts as current.
	ConfirmInterval int64
	// EndpointUpdateDelay is the time after which a change of the endpoint list counts as known,
	// whether its update arrived or not.
	EndpointUpdateDelay int64

	ResponseSlack     int64
	DrainGrace        int64
	SlowStartWindow   int64
	OverloadWindow    int64
	OverloadFactor    float64
	SlowStartCapacity float64 // share of its capacity with which a worker starts

	LoadOrders         bool
	LoadsOnMiss        bool
	ReportsWarmth      bool
	ReportsConcurrency bool
	KeepAlive          int64 // for which an idle copy stays loaded
	LoadQuotaWindow    int64
	LoadOrderTimeout   int64
	LoadQuotaBase      float64
	LoadQuotaRatio     float64
	MemoryPrice        float64
	KindMemoryMB       []float64
	CrossZonePrice     float64
	WastePrice         float64
	ProbePrice         float64
	PeerPrice          float64 // of a full datagram to another dispatcher
	LateFailurePrice   float64
	OriginPrice        float64 // of a load
}

// validate returns an error for settings that have no safe reading.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("balancer: Classes is empty")
	}
	for i := range s.Classes {
		if s.Classes[i].LatencyObjective <= 0 {
			return fmt.Errorf("balancer: Classes[%d].Aim must be above 0", i)
		}
		if !s.Classes[i].hasValidFigures() {
			return fmt.Errorf("balancer: Classes[%d]: Window, GiveUp or Worth cannot be read", i)
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
