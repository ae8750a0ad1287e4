package balancer

import "math"

const (
	// minLoadSlack is the minimum slack of a choice: by how much the load of a holder may exceed
	// that of the least loaded worker, as a share of the latter (Bunt et al., Table 4).
	minLoadSlack = 1.0
	// loadPriceScale is the price of a load plus idle memory at which the share of calls that cause
	// a load is used unscaled; at higher prices it is scaled up in proportion.
	loadPriceScale = 0.012
	// similarLoadTolerance is by how much the load of a worker may exceed the median, as a share of
	// it, and still be treated as equal to the least load.
	similarLoadTolerance = 0.25
	// failedOrderPenalty divides the placement score of a worker whose load orders are backed off
	// because it recently had no room for a load.
	failedOrderPenalty = 1e9
)

// choiceState holds the buffers that choices reuse.
type choiceState struct {
	number     int            // sequence number of the choice
	examined   []*workerState // in a long list
	candidates []*workerState // workers that may get the call
	loads      []float64      // for the median load
	free       []*workerState // holders with free capacity
	busy       []*workerState // other holders
}

// candidateSet summarizes the candidates of a choice.
type candidateSet struct {
	preferred   int          // number of leading candidates from the function's ring window
	total       int          // eligible workers
	healthy     int          // eligible workers that are healthy
	unreachable int          // eligible workers that no dispatcher reaches
	trial       *workerState // worker due for the attempt that ends or renews its ejection
	medianLoad  float64
	minLoad     float64
}

// chooseWorker chooses a worker for the next attempt of a request, or returns nil if none is
// eligible; trial is set if the attempt tests a worker whose ejection has expired. The rule is
// Load/Affinity (Bunt et al.): the least loaded holder with free capacity whose load is within a
// slack of the least load, else the least loaded holder within that slack, else the least loaded
// worker.
func (b *Balancer) chooseWorker(now int64, request *requestState) (best *workerState, trial bool) {
	b.choice.number++
	examined := b.workersToExamine(now, request)
	set := b.examine(now, request, examined)
	if set.trial != nil {
		return set.trial, true
	}
	if set.total == 0 {
		return nil, false
	}
	set.medianLoad = median(b.choice.loads)
	set.minLoad = b.excludeUnhealthy(now, request, set)
	slack := max(minLoadSlack, b.loads.expected(request.function)/b.latencies[request.Class].mean)
	if holders := b.holdersWithin(now, request.function, b.loadBase(set)*(1+slack)); len(holders) > 0 {
		return b.leastLoadedHolder(now, holders, set.medianLoad), false
	}
	tolerance := min(slack, similarLoadTolerance*b.fleetFactor())
	limits := placement{
		preferred:   set.preferred,
		maxLoad:     (1 + tolerance) * max(set.minLoad, set.medianLoad),
		placesShare: examined.placesShare,
	}
	return b.preferredWorker(now, request.function, limits), false
}

// examine collects the eligible workers and their loads as candidates. It stops at the first worker
// that is due for a trial.
func (b *Balancer) examine(now int64, request *requestState, examined examinedWorkers) (set candidateSet) {
	number := b.choice.number
	b.choice.candidates, b.choice.loads = b.choice.candidates[:0], b.choice.loads[:0]
	for i, worker := range examined.workers {
		if worker.examinedIn == number || !b.eligible(now, worker) || !b.mayRetryAt(now, request, worker) {
			continue
		}
		set.total++
		worker.examinedIn, worker.choiceHealthy = number, b.isHealthy(now, worker)
		switch {
		case worker.choiceHealthy:
			set.healthy++
		case b.trialDue(now, worker, request):
			set.trial = worker
			return set
		case b.isUnreachableByAll(now, worker):
			set.unreachable++
		}
		worker.candidateIn, worker.choiceLoad = number, b.weightedLoad(now, worker)
		b.choice.candidates = append(b.choice.candidates, worker)
		if i < examined.preferred {
			set.preferred = len(b.choice.candidates)
		}
		if i < examined.representative {
			b.choice.loads = append(b.choice.loads, worker.choiceLoad)
		}
	}
	return set
}

// excludeUnhealthy excludes the unhealthy workers from the candidates, raises the loads of workers
// that have not responded yet or were already tried, and returns the least load.
func (b *Balancer) excludeUnhealthy(now int64, request *requestState, set candidateSet) (minLoad float64) {
	trusted := set.ejectionsTrusted()
	minLoad = math.Inf(1)
	for _, worker := range b.choice.candidates {
		if !worker.choiceHealthy && (trusted || set.unreachable < set.total && b.isUnreachableByAll(now, worker)) {
			worker.candidateIn--
			continue
		}
		if !worker.responded {
			worker.choiceLoad = max(worker.choiceLoad, set.medianLoad)
		}
		if request.triedAt(worker) { // the call may fail there again
			worker.choiceLoad += float64(b.settings.MaxAttempts) * (set.medianLoad + 1)
		}
		minLoad = min(minLoad, worker.choiceLoad)
	}
	return minLoad
}

// ejectionsTrusted reports whether enough candidates are healthy to exclude the unhealthy ones. If
// half of them look faulty, the fault is likely at this dispatcher, and load alone decides. Workers
// that no dispatcher reaches are not counted: more than half of the workers may be cut off.
func (s *candidateSet) ejectionsTrusted() bool {
	reachable := s.total - s.unreachable
	return 2*s.healthy > reachable || 2*s.healthy == reachable && s.healthy > 1
}

// loadBase returns the load that the slack for holders is added to. When nearly all calls find a
// loaded copy it is the least load, as in the paper, and functions spread. When loads are frequent
// there are too many copies, and it moves up to the median load: a worker below the median has idle
// cores, so a lower load saves less than another copy costs.
func (b *Balancer) loadBase(set candidateSet) float64 {
	price := max(b.settings.OriginPrice+b.settings.MemoryPrice, loadPriceScale) / loadPriceScale
	return set.minLoad + max(0, set.medianLoad-set.minLoad)*min(1, b.loads.share*price)
}

// holdersWithin returns the candidates with at most the given load that hold a copy with free
// capacity or, if there are none, those where a copy is expected. The result is valid until the
// next choice.
func (b *Balancer) holdersWithin(now int64, function *functionState, limit float64) []*workerState {
	free, busy := b.choice.free[:0], b.choice.busy[:0]
	for _, holder := range function.holders {
		if holder.worker.candidateIn != b.choice.number || holder.worker.choiceLoad > limit {
			continue
		}
		if holder.hasFreeCapacity(now) {
			free = append(free, holder.worker)
		} else if holder.copyExpected(now) {
			busy = append(busy, holder.worker)
		}
	}
	b.choice.free, b.choice.busy = free, busy
	if len(free) == 0 {
		return busy
	}
	return free
}

// leastLoadedHolder returns the least loaded of the given holders, or one of similar load. The load
// caused by other dispatchers is known from a digest that all dispatchers share. The older the
// digest, the wider the range of loads from which a holder is drawn at random, so that the
// dispatchers do not all choose the same.
func (b *Balancer) leastLoadedHolder(now int64, holders []*workerState, medianLoad float64) (best *workerState) {
	minLoad, count := math.Inf(1), 0
	for _, worker := range holders {
		minLoad = min(minLoad, worker.choiceLoad)
	}
	staleness := 1 - math.Exp(-float64(2*(now-b.gossip.digestAt))/float64(b.shortestObjective))
	limit := max(minLoad, staleness*medianLoad) * (1 + similarLoadTolerance*staleness)
	for _, worker := range holders {
		if worker.choiceLoad > limit {
			continue
		}
		count++
		if b.rng.IntN(count) == 0 {
			best = worker
		}
	}
	return best
}

// placement limits where a function without a usable holder is loaded.
type placement struct {
	preferred   int     // number of leading candidates that take precedence
	maxLoad     float64 // highest load that is treated as equal to the least load
	placesShare float64 // share of the workers that each dispatcher ranks independently
}

// preferredWorker returns the highest-ranked candidate for a function with at most limits.maxLoad,
// from the function's ring window if that has one. All dispatchers use the same ranking, so that
// they load a function at the same worker. Each dispatcher sees only a small part of a worker's
// load, so the more dispatchers there are, the wider the range of loads that are treated as equal.
// For a function that needs more workers, each dispatcher ranks a share of the workers
// independently.
func (b *Balancer) preferredWorker(now int64, function *functionState, limits placement) (best *workerState) {
	topScore := 0.0
	for i, worker := range b.choice.candidates {
		if i >= limits.preferred && best != nil {
			break
		}
		if worker.candidateIn != b.choice.number || worker.choiceLoad > limits.maxLoad {
			continue
		}
		if score := b.placementScore(now, function, worker, limits.placesShare); best == nil || score > topScore {
			best, topScore = worker, score
		}
	}
	return best
}

// placementScore returns the score of a worker for loading a function; higher is better. The given
// share of the workers is ranked independently of the other dispatchers.
func (b *Balancer) placementScore(now int64, function *functionState, worker *workerState, share float64) float64 {
	rank := hashRank(function.id, worker.Worker)
	score := rendezvousScore(rank, worker.Weight*b.capacityFraction(now, worker))
	if rank > 1-share {
		score += rendezvousScore(hashRank(b.ownPlacementKey(function.id), worker.Worker), placementRankWeight)
	}
	if holder := function.holderAt(worker, false); holder != nil && holder.orderBackoffUntil > now {
		score /= failedOrderPenalty
	}
	return score
}

// eligible reports whether a worker may get attempts and load orders, possibly after a health
// check: it is listed as active, does not report that it drains, and is within its slow-start
// budget. Every attempt and every load order must pass this check (rules 3 and 4).
func (b *Balancer) eligible(now int64, worker *workerState) bool {
	return worker.listed && worker.State == Active && b.leases.mayUse(now, worker) && b.slowStartAllows(now, worker)
}
