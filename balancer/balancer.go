package balancer

import (
	"cmp"
	"fmt"
	"math/rand/v2"

	"oakthread/aggregate"
	"oakthread/leader"
	"oakthread/outlier"
	"oakthread/rules"
)

// Balancer makes the dispatch decisions of one dispatcher. Use New to create one. Its methods must
// be called from one goroutine, with a monotonic clock in nanoseconds. Events about unknown
// requests, workers or attempts are ignored.
type Balancer struct {
	environment

	requests  map[string]*requestState // pending, by ID
	endpoints endpointTable
	poller    endpointPoller
	holders   holderTable
	choice    choiceState

	admission  admissionState
	latencies  []latency // response times of loaded copies, by class
	losses     lossEstimator
	hedges     hedgeBudget
	outliers   *outlier.Detector
	slowStart  slowStartState
	loads      loadModel
	loadQuota  loadQuota
	gossip     gossipState
	leases     leaseState
	fleetWatch fleetWatch
	ended      endReasons

	timers timerQueue
	logs   logLimiter
}

// New returns a Balancer that has no endpoint list yet. It returns an error if the host is nil or
// the settings are invalid.
func New(now int64, settings Settings, seed uint64, host Host) (*Balancer, error) {
	if host == nil {
		return nil, fmt.Errorf("balancer: host is nil")
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.setDefaults()
	classes := settings.Classes
	settings.Classes = settings.Classes[:0:0]
	b := &Balancer{
		environment: environment{
			settings:          settings,
			host:              host,
			rng:               rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
			now:               now,
			startedAt:         now,
			shortestObjective: noDeadline,
		},
		requests:  map[string]*requestState{},
		endpoints: newEndpointTable(settings.FullScanLimit),
		holders:   holderTable{functions: map[uint32]*functionState{}},
		admission: admissionState{tenantCalls: make([]decayingCounter, len(settings.TenantQuota))},
		losses:    lossEstimator{probability: minLossProbability},
		hedges:    hedgeBudget{tokens: 1},
		slowStart: slowStartState{window: settings.SlowStartWindow},
		loadQuota: loadQuota{
			window: settings.LoadQuotaWindow,
			limits: rules.LoadQuota{Base: settings.LoadQuotaBase, Ratio: settings.LoadQuotaRatio},
		},
		leases:     newLeaseState(&settings),
		fleetWatch: newFleetWatch(now, &settings),
		timers:     timerQueue{deadline: noDeadline, stalledAt: now - 1},
	}
	b.appendClasses(classes)
	b.loads = newLoadModel(b.shortestObjective)
	b.outliers = outlier.New(b.shortestObjective, b.fleetFactor() > 1)
	b.gossip = b.newGossip(now)
	return b, nil
}

// newGossip returns the gossip state before the first message.
func (b *Balancer) newGossip(now int64) gossipState {
	s := &b.settings
	return gossipState{
		elector: leader.New(s.DispatcherIndex, s.Dispatchers, b.leaderTerm()),
		aggregator: aggregate.New(now, aggregate.Settings{
			DispatcherIndex: s.DispatcherIndex,
			Dispatchers:     s.Dispatchers,
			Values:          b.sharedTenants() + fleetColumns,
			Transient:       1,
			Term:            b.leaderTerm(),
			Tick:            s.ClockResolution,
			DecayTime:       forgetDispatcherDecays * int64(b.decayTime()),
		}),
		reports: reports{dispatchers: s.Dispatchers},
	}
}

// appendClasses adds classes to the settings and initializes the per-class state. A pending request
// points to its class, so existing classes are never modified.
func (b *Balancer) appendClasses(classes []Class) {
	b.settings.Classes = append(b.settings.Classes, classes...)
	for i := range classes {
		class := &classes[i]
		b.shortestObjective = min(b.shortestObjective, class.LatencyObjective)
		b.hasIdempotentClass = b.hasIdempotentClass || class.Idempotency == Idempotent
		b.latencies = append(b.latencies, initialLatency(class))
		b.admission.mix.byClass = append(b.admission.mix.byClass, 0)
	}
}

// AddClasses adds classes of requests and returns the index of the first one. Pending requests keep
// their class. It adds all classes or none: it returns an error and changes nothing if a class has
// a latency objective that is not positive, a negative duration, or a priority weight that is NaN.
func (b *Balancer) AddClasses(now int64, classes []Class) (int, error) {
	b.advanceClock(now)
	for i := range classes {
		if !classes[i].isValid() {
			const format = "balancer: added class %d: LatencyObjective <= 0, negative duration or NaN PriorityWeight"
			return 0, fmt.Errorf(format, i)
		}
	}
	first := len(b.settings.Classes)
	b.appendClasses(classes)
	b.outliers.SetObjective(b.shortestObjective)
	b.gossip.elector.SetTerm(b.leaderTerm())
	b.armTimer()
	return first, nil
}

// SetMaxAttempts changes the maximum number of attempts per request, with immediate effect. Values
// below 1 are treated as 1.
func (b *Balancer) SetMaxAttempts(now int64, attempts int) {
	b.advanceClock(now)
	b.settings.MaxAttempts = max(1, attempts)
	b.armTimer()
}

// setDefaults replaces missing and out-of-range values with defaults.
func (s *Settings) setDefaults() {
	s.Dispatchers = max(1, s.Dispatchers)
	s.MaxAttempts = max(1, s.MaxAttempts)
	s.FullScanLimit = cmp.Or(s.FullScanLimit, defaultFullScanLimit)
	s.MaxFunctions = cmp.Or(s.MaxFunctions, DefaultMaxFunctions)
	s.ClockResolution = max(s.ClockResolution, minClockResolution)
	s.OverloadFactor = max(s.OverloadFactor, 0)
}
