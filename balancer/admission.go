package balancer

// The thresholds of admission. New requests of the least priority are rejected from the first value
// on, all from the second: half of the calls take longer than the mean.
const (
	rejectFirstWait      = 0.5  // expected response time as a share of the latency objective
	rejectAllWait        = 0.9  // the same
	rejectFirstOccupancy = 0.7  // requests in hand as a share of the most
	rejectAllOccupancy   = 0.95 // the same
)

// classMixWeight is the weight of a request in the mix of classes: about the last hundred count.
const classMixWeight = 0.01

// admissionState holds what decides whether a new request is rejected at once.
type admissionState struct {
	completions decayingCounter   // answers, over two shortest latency objectives
	tenantCalls []decayingCounter // by tenant, over decayTime
	mix         workMix
}

// workMix is the work of recent requests, in nanoseconds of response time a request.
type workMix struct {
	overQuota float64   // beyond the tenants' quotas, or of functions without a copy
	byClass   []float64 // the rest
}

// observe takes in the work of one request.
func (m *workMix) observe(class int, overQuota bool, work float64) {
	m.overQuota -= classMixWeight * m.overQuota
	for i := range m.byClass {
		m.byClass[i] -= classMixWeight * m.byClass[i]
	}
	if overQuota {
		m.overQuota += classMixWeight * work
	} else {
		m.byClass[class] += classMixWeight * work
	}
}

// demand is the recent work as a request of one class sees it.
type demand struct {
	below     float64 // of lower priority
	equal     float64 // of the same
	total     float64
	priority  float64 // sum of the work times its priority
	objective float64 // sum of the same times the latency objective
}

// shouldReject reports whether a new request is rejected before anything is done for it. The
// expected response time shows a queue as it forms, before any answer is late (Little's law). First
// rejected are requests over their tenant's quota or that need a load, by the shortest latency
// objective, then the classes of the least priority for their work, by the mean objective. A load
// occupies the slots of other calls while the store is slow.
func (b *Balancer) shouldReject(now int64, q Request) bool {
	overQuota := b.countsOverQuota(now, q)
	b.admission.mix.observe(q.Class, overQuota, b.latencies[q.Class].mean)
	seen := b.demandSeenBy(q.Class)
	objective := seen.objective / seen.priority
	if overQuota || seen.priority <= 0 {
		objective = float64(b.shortestObjective)
	}
	if overQuota {
		seen.below, seen.equal = 0, b.admission.mix.overQuota
	}
	rank := (seen.below + b.rng.Float64()*seen.equal) / max(seen.total, 1)
	late := b.expectedQueueTime(now) > objective*(rejectFirstWait+(rejectAllWait-rejectFirstWait)*rank)
	return now-b.startedAt > 2*b.shortestObjective && (late || b.isFull(rank))
}

// countsOverQuota reports whether a request is among the first to be rejected. So is one that the
// client marks as a retry: clients that retry at once must not crowd out first attempts, nor do
// retries count toward the tenant's rate.
func (b *Balancer) countsOverQuota(now int64, q Request) bool {
	if q.Retry || b.rng.Float64() < b.overQuotaShare(now, q.Tenant) {
		return true
	}
	f := b.holders.lookup(q.Func)
	return f == nil || !f.copyExpectedElsewhere(now, nil)
}

// isFull reports whether the requests in hand leave no room for one of a rank between 0 and 1. Once
// it is full, requests are rejected whatever their priority.
func (b *Balancer) isFull(rank float64) bool {
	limit := float64(b.settings.MaxInFlight) * (rejectFirstOccupancy + (rejectAllOccupancy-rejectFirstOccupancy)*rank)
	return b.settings.MaxInFlight > 0 && float64(len(b.requests)) > limit
}

// demandSeenBy returns the recent work as a request of a class sees it.
func (b *Balancer) demandSeenBy(class int) demand {
	mix := &b.admission.mix
	own := b.priorityPerWork(class)
	seen := demand{below: mix.overQuota, total: mix.overQuota}
	for i, work := range mix.byClass {
		priority := b.priorityPerWork(i)
		seen.total += work
		seen.priority += work * priority
		seen.objective += work * priority * float64(b.settings.Classes[i].LatencyObjective)
		if priority < own {
			seen.below += work
		} else if priority == own {
			seen.equal += work
		}
	}
	return seen
}

// priorityPerWork returns the priority weight of a class over the work that one of its requests
// takes.
func (b *Balancer) priorityPerWork(class int) float64 {
	return b.settings.Classes[class].PriorityWeight / b.latencies[class].mean
}

// overQuotaShare returns the share of a tenant's requests, at all dispatchers, that is beyond its
// quota, and counts one request of it. A dispatcher that no longer reports counts with its last
// figure; where messages are not allowed all are taken to see as much as this one.
func (b *Balancer) overQuotaShare(now int64, tenant int) float64 {
	if tenant < 0 || tenant >= len(b.admission.tenantCalls) || b.settings.TenantQuota[tenant] <= 0 {
		return 0
	}
	calls := &b.admission.tenantCalls[tenant]
	calls.add(now, b.decayTime())
	rate := calls.value / b.decayTime() * 1e9
	if !b.settings.Gossip {
		rate *= float64(b.settings.Dispatchers)
	} else if tenant < len(b.gossip.view.Totals)-fleetColumns {
		rate = max(rate, b.gossip.view.Totals[tenant].Likely)
	}
	return max(0, 1-b.settings.TenantQuota[tenant]/rate)
}
