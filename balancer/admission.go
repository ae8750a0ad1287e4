package balancer

// Admission thresholds. Rejection starts at the lower threshold with the lowest-priority requests
// and covers every request at the upper one. The wait thresholds are below 1 because half of the
// calls take longer than the mean.
const (
	rejectFirstWait      = 0.5  // expected response time as a share of the latency objective
	rejectAllWait        = 0.9  // the same
	rejectFirstOccupancy = 0.7  // pending requests as a share of MaxInFlight
	rejectAllOccupancy   = 0.95 // the same
)

// classMixWeight is the weight of one request in the moving average of work by class, which spans
// about the last hundred requests.
const classMixWeight = 0.01

// admissionState holds the measurements that admission control is based on.
type admissionState struct {
	completions decayingCounter   // successful answers, averaged over two shortest latency objectives
	tenantCalls []decayingCounter // by tenant, over decayTime
	mix         workMix
}

// workMix is a moving average of the work of recent requests, in nanoseconds of response time per
// request.
type workMix struct {
	sheddable float64   // requests that are rejected first, see isSheddable
	byClass   []float64 // the rest
}

// observe adds the work of one request to the average.
func (m *workMix) observe(class int, sheddable bool, work float64) {
	m.sheddable -= classMixWeight * m.sheddable
	for i := range m.byClass {
		m.byClass[i] -= classMixWeight * m.byClass[i]
	}
	if sheddable {
		m.sheddable += classMixWeight * work
	} else {
		m.byClass[class] += classMixWeight * work
	}
}

// demand is the recent work, split by priority relative to one class.
type demand struct {
	below     float64 // of lower priority
	equal     float64 // of the same priority
	total     float64
	priority  float64 // sum of work times priority
	objective float64 // sum of work times priority times latency objective
}

// shouldReject reports whether admission control rejects a new request. The expected response time,
// by Little's law, shows a queue while it forms, before any answer is late. Sheddable requests (see
// isSheddable) are rejected first, measured against the shortest latency objective; then the
// classes with the least priority per unit of work, measured against the mean objective. Requests
// that need a load are among the first because a load from a slow store occupies slots that other
// calls need.
func (b *Balancer) shouldReject(now int64, request Request) bool {
	sheddable := b.isSheddable(now, request)
	b.admission.mix.observe(request.Class, sheddable, b.latencies[request.Class].mean)
	seen := b.demandRelativeTo(request.Class)
	objective := seen.objective / seen.priority
	if sheddable || seen.priority <= 0 {
		objective = float64(b.shortestObjective)
	}
	if sheddable {
		seen.below, seen.equal = 0, b.admission.mix.sheddable
	}
	rank := (seen.below + b.rng.Float64()*seen.equal) / max(seen.total, 1)
	late := b.expectedResponseTime(now) > objective*(rejectFirstWait+(rejectAllWait-rejectFirstWait)*rank)
	return now-b.startedAt > 2*b.shortestObjective && (late || b.isFull(rank))
}

// isSheddable reports whether a request is among the first to be rejected: it exceeds its
// tenant's quota, needs a load, or is marked by the client as a retry. Clients that retry at once
// must not crowd out first attempts. Retries do not count toward the tenant's rate.
func (b *Balancer) isSheddable(now int64, request Request) bool {
	if request.Retry || b.rng.Float64() < b.overQuotaShare(now, request.Tenant) {
		return true
	}
	function := b.holders.lookup(request.Func)
	return function == nil || !function.copyExpectedElsewhere(now, nil)
}

// isFull reports whether there are too many pending requests to admit one of the given rank, which
// is between 0 and 1. At rejectAllOccupancy requests of any priority are rejected.
func (b *Balancer) isFull(rank float64) bool {
	limit := float64(b.settings.MaxInFlight) * (rejectFirstOccupancy + (rejectAllOccupancy-rejectFirstOccupancy)*rank)
	return b.settings.MaxInFlight > 0 && float64(len(b.requests)) > limit
}

// demandRelativeTo returns the recent work, split by priority relative to a class.
func (b *Balancer) demandRelativeTo(class int) demand {
	mix := &b.admission.mix
	own := b.priorityPerWork(class)
	seen := demand{below: mix.sheddable, total: mix.sheddable}
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

// priorityPerWork returns the priority weight of a class divided by the mean response time of its
// requests.
func (b *Balancer) priorityPerWork(class int) float64 {
	return b.settings.Classes[class].PriorityWeight / b.latencies[class].mean
}

// overQuotaShare counts one request of a tenant and returns the share of the tenant's requests,
// over all dispatchers, that exceeds its quota. A dispatcher that no longer reports is counted with
// its last reported rate; without gossip every dispatcher is assumed to have the rate of this one.
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
