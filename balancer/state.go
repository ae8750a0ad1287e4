package balancer

// This file holds the state of the Dispatcher and its making. Nothing here decides.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"

	"oakthread/aggregate"
	"oakthread/leader"
	"oakthread/outlier"
	"oakthread/ring"
)

const (
	defaultFullScanLimit = 256 // executors up to which a list is looked through whole for a choice
	// shortest aims for which a worker that answered counts as heard, where one asks whether the fault is its own
	recentResponseObjectives = 2
	forgetDispatcherDecays   = 20 // tau: the time constant with which a dispatcher that is not heard is forgotten
)

// Balancer decides for one front end. Use New. Its methods must be called from one goroutine, with a clock
// that does not go back; what concerns a request, worker or attempt it does not know is ignored.
type Balancer struct {
	set            Settings
	host           Host
	rng            *rand.Rand
	now            int64
	minAim         int64
	judge          *outlier.Detector
	safe           bool // some class is safe to repeat: such calls make the trials
	reqs           map[string]*request
	workers        map[WorkerID]*worker
	tags           map[uint16]*worker
	list           []*worker // listed and on or draining, in order of arrival
	on             []*worker // of these, those that are on, as the ring has them
	funcs          map[uint32]*function
	stats          []latency // by class: answers of loaded copies
	loads          latency   // load times beyond the call itself
	stress         float64
	served         float64 // calls answered lately, decaying over two aims
	servedAt, born int64
	misses         float64 // share of the last answers that began a load
	over           float64 // of the last calls, the work beyond the tenants' shares
	tenants        []tenantRate
	asked          []float64 // by class, share of the last calls
	heap           timerHeap
	armed          int64
	bell           int64 // number of the armed timer
	beatAt         int64
	busyAt         int64
	hedges         float64
	answers        float64 // calls that warm workers answered lately, decaying over tau
	answersAt      int64
	arrived        []int64 // arrivals and orders within LoadWindow, where loads are rationed
	ordered        []int64
	watching       bool
	askAt          int64
	greeted        int         // dispatchers asked for their beliefs
	words, pool    tokenBucket // earned by calls for reports and, at the hub, for digests
	calls          int         // calls taken since the last report
	news           []*holder
	others         float64   // requests of other dispatchers seen at a worker, on the mean
	near           []*worker // those that the choice at hand looks at, in a long list
	can            []*worker // of these, those that can take the call
	turn           int       // number of that choice
	ring           ring.Ring[*worker]
	used           []*worker // with calls of ours out, or that failed just now
	touched        []*worker // what active looks at, in a long list
	holders        []*worker // what holding looks at
	hs             []*holder // scratch of held
	young          []*worker // listed ones that are cold, or were
	warm           int       // listed workers that are not cold
	sweptAt        int64
	stoodAt        int64                 // when we last found that we had stood still
	lost           float64               // share of answers that never come, from workers that answer others
	shared         *aggregate.Aggregator // what each has of the figures below, and their sums
	view           aggregate.View        // as of the last round
	reports        reports               // what the others told us as the hub
	counted        int                   // counts in the last report gathered
	roll           *leader.Elector       // who is there, and whose turn it is
	sorted         []float64             // scratch for a middle
	digestAt       int64
	wholeAt        int64 // when the last whole digest came in a long list
	logAt          int64
	logLeft        float64
}

// initialLatency is what answers of a class are taken to need before any is known.
func initialLatency(c *Class) latency {
	return latency{initialLatencyShare * float64(c.LatencyObjective), initialLatencyShare / 2 * float64(c.LatencyObjective)}
}

type latency struct{ mean, deviation float64 }

func (s *latency) observe(x, w float64) {
	s.deviation += w * (math.Abs(x-s.mean) - s.deviation)
	s.mean += w * (x - s.mean)
}

// decayed is what is left of x after some time, with a time constant of tau. Most are 0, and the exponential is dear.
func decayed(x float64, age int64, tau float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Exp(-float64(age)/tau)
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// workerTag and funcTag are short names in messages; two workers of one tag share what is told of it.
func workerTag(w WorkerID) uint16 { return uint16(w ^ w>>16) }

func functionTag(f FuncID) uint32 { return uint32(f ^ f>>32) }

// validate rejects settings that have no safe reading.
func (s *Settings) validate(host Host) error {
	if host == nil {
		return fmt.Errorf("balancer: host is nil")
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("balancer: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 {
			return fmt.Errorf("balancer: Classes[%d].Aim must be above 0", i)
		}
		if c.IdempotencyWindow < 0 || c.ClientTimeout < 0 || math.IsNaN(c.PriorityWeight) {
			return fmt.Errorf("balancer: Classes[%d]: Window, GiveUp or Worth cannot be read", i)
		}
	}
	for _, f := range []struct {
		name string
		v    int64
	}{{"KeepAlive", s.KeepAlive}, {"Cold", s.SlowStartWindow}, {"Fall", s.OverloadWindow}, {"DrainGrace", s.DrainGrace},
		{"LoadWindow", s.LoadQuotaWindow}} {
		if f.v < 0 {
			return fmt.Errorf("balancer: %s is negative", f.name)
		}
	}
	return nil
}

// New makes a Dispatcher. It knows no workers until Roster is called.
func New(now int64, s Settings, seed uint64, host Host) (*Balancer, error) {
	if err := s.validate(host); err != nil {
		return nil, err
	}
	d := &Balancer{set: s, host: host, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), now: now,
		minAim: forever, reqs: map[string]*request{}, workers: map[WorkerID]*worker{},
		funcs: map[uint32]*function{}, tags: map[uint16]*worker{}, armed: forever,
		stress: 1, misses: 1, lost: minLossProbability, born: now, stoodAt: now - 1, hedges: 1,
		asked: make([]float64, len(s.Classes))}
	for i := range s.Classes {
		c := &s.Classes[i]
		d.minAim = min(d.minAim, c.LatencyObjective)
		d.safe = d.safe || c.Idempotency == Idempotent
		d.stats = append(d.stats, initialLatency(c))
	}
	d.set.Dispatchers = max(1, s.Dispatchers)
	d.set.MaxAttempts = max(1, s.MaxAttempts)
	d.set.FullScanLimit = cmp.Or(s.FullScanLimit, defaultFullScanLimit)
	d.set.ClockResolution = max(s.ClockResolution, 1_000_000)
	d.set.OverloadFactor = max(s.OverloadFactor, 0)
	for range s.TenantQuota {
		d.tenants = append(d.tenants, tenantRate{})
	}
	d.judge = outlier.New(d.minAim, d.fleetFactor() > 1)
	d.roll = leader.New(s.DispatcherIndex, d.set.Dispatchers, leaderTermObjectives*d.minAim)
	d.shared = aggregate.New(now, aggregate.Settings{DispatcherIndex: s.DispatcherIndex, Dispatchers: d.set.Dispatchers,
		Values: d.sharedTenants() + 2, Passing: 1, Term: leaderTermObjectives * d.minAim, Tick: d.set.ClockResolution,
		Forget: forgetDispatcherDecays * int64(d.decayTime())})
	d.loads = latency{initialLoadTimeShare * float64(d.minAim), initialLoadTimeShare / 2 * float64(d.minAim)}
	return d, nil
}

// AddClasses takes classes that requests may name from now on and returns the number of the first; requests in hand
// keep the class they came with. All are taken or none: an error, for a class without a positive aim or with figures
// that cannot be read, changes nothing.
func (d *Balancer) AddClasses(now int64, cs []Class) (int, error) {
	d.advanceClock(now)
	for i, c := range cs {
		if c.LatencyObjective <= 0 || c.IdempotencyWindow < 0 || c.ClientTimeout < 0 || math.IsNaN(c.PriorityWeight) {
			return 0, fmt.Errorf("balancer: added class %d: Aim must be above 0, and Window, GiveUp and Worth be read", i)
		}
	}
	first := len(d.set.Classes)
	d.set.Classes = append(d.set.Classes, cs...) // a request holds its class by pointer: an old array stays its own
	for i := range cs {
		c := &cs[i]
		d.minAim = min(d.minAim, c.LatencyObjective)
		d.safe = d.safe || c.Idempotency == Idempotent
		d.stats = append(d.stats, initialLatency(c))
		d.asked = append(d.asked, 0)
	}
	d.judge.Pace(d.minAim)
	d.roll.SetTerm(leaderTermObjectives * d.minAim)
	d.armTimer()
	return first, nil
}

// SetMaxAttempts changes how many attempts a request may have, from now on; at least one.
func (d *Balancer) SetMaxAttempts(now int64, n int) {
	d.advanceClock(now)
	d.set.MaxAttempts = max(1, n)
	d.armTimer()
}
