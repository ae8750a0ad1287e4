package balancer

import "math"

const (
	// minLoadSlack is the least slack of a choice: a holder may carry this much more than the
	// lightest worker, as a share of it (Bunt et al., Table 4).
	minLoadSlack = 1.0
	// loadPriceScale is the price of a load and of idle memory at which the share of loads counts
	// as it is; at higher prices it counts for more.
	loadPriceScale = 0.012
	// similarLoadTolerance is how much heavier than the median a worker may be and still count as
	// good as the lightest.
	similarLoadTolerance = 0.25
	// failedOrderPenalty divides the score of a worker that had no room for a load just now.
	failedOrderPenalty = 1e9
)

// choiceState is the scratch of a choice.
type choiceState struct {
	number     int            // of the choice
	examined   []*workerState // in a long list
	candidates []*workerState // that may take the call
	loads      []float64      // of which the median is taken
	free       []*workerState // holders with free capacity
	busy       []*workerState // other holders
}

// candidateSet is what a choice knows of its candidates.
type candidateSet struct {
	preferred   int          // the first so many candidates stand in the function's ring window
	total       int          // eligible workers
	healthy     int          // of these
	unreachable int          // of these: that no dispatcher reaches
	trial       *workerState // due for the attempt that ends or renews its ejection
	medianLoad  float64
	minLoad     float64
}

// chooseWorker chooses a worker for the next attempt of a request, or nil if none is eligible;
// trial is set if the attempt tests a worker whose ejection has run out. The rule is Load/Affinity
// (Bunt et al.): the lightest holder with free capacity within a slack of the lightest worker, else
// the lightest holder within it, else the lightest worker.
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
		return b.lightestHolder(now, holders, set.medianLoad), false
	}
	tolerance := min(slack, similarLoadTolerance*b.fleetFactor())
	where := placement{
		preferred:   set.preferred,
		maxLoad:     (1 + tolerance) * max(set.minLoad, set.medianLoad),
		placesShare: examined.placesShare,
	}
	return b.preferredWorker(now, request.function, where), false
}

// examine collects the eligible workers with their loads as candidates. It stops at a worker that
// is due for a trial.
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

// excludeUnhealthy takes the unhealthy workers out of the candidates, adjusts the loads of unknown
// and of already tried ones, and returns the lightest load.
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
		if request.triedAt(worker) { // what failed there may fail there again
			worker.choiceLoad += float64(b.settings.MaxAttempts) * (set.medianLoad + 1)
		}
		minLoad = min(minLoad, worker.choiceLoad)
	}
	return minLoad
}

// ejectionsTrusted reports whether enough candidates are healthy for the unhealthy ones to be left
// out. If half look faulty, the fault is likely our own, and load alone decides. Workers that no
// dispatcher reaches do not count: more than half may be cut off.
func (s *candidateSet) ejectionsTrusted() bool {
	reachable := s.total - s.unreachable
	return 2*s.healthy > reachable || 2*s.healthy == reachable && s.healthy > 1
}

// loadBase returns the load from which the slack for holders counts. Where nearly all calls find a
// loaded copy it is the lightest load, as in the paper, and functions spread. Where loads are
// frequent there are too many copies, and it moves up to the median: a worker below the median has
// idle cores, so that being lighter saves less than a copy costs.
func (b *Balancer) loadBase(set candidateSet) float64 {
	price := max(b.settings.OriginPrice+b.settings.MemoryPrice, loadPriceScale) / loadPriceScale
	return set.minLoad + max(0, set.medianLoad-set.minLoad)*min(1, b.loads.share*price)
}

// holdersWithin lists the candidates up to a load that hold a copy with free capacity or, if there
// are none, those at which a copy is expected. The result is valid until the next choice.
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

// lightestHolder returns the lightest of some holders. What is known of other dispatchers' calls is
// known to all of them alike and grows old: the older it is, the wider the range of loads from
// which one is drawn, lest all dispatchers meet at the lightest.
func (b *Balancer) lightestHolder(now int64, holders []*workerState, medianLoad float64) (best *workerState) {
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

// placement says where a function without a usable holder is loaded.
type placement struct {
	preferred   int     // the first so many candidates come first
	maxLoad     float64 // of a worker that counts as good as the lightest
	placesShare float64 // of the workers that each dispatcher ranks for itself
}

// preferredWorker returns the candidate up to a load that ranks highest for a function, of its ring
// window if that has one. Dispatchers rank alike, so that they load a function in one place; each
// sees little of the load of any worker, and the more of them there are, the wider the range of
// loads that count as alike. Of a function that needs more places, a share of the workers is ranked
// by each dispatcher for itself.
func (b *Balancer) preferredWorker(now int64, function *functionState, where placement) (best *workerState) {
	topScore := 0.0
	for i, worker := range b.choice.candidates {
		if i >= where.preferred && best != nil {
			break
		}
		if worker.candidateIn != b.choice.number || worker.choiceLoad > where.maxLoad {
			continue
		}
		if score := b.placementScore(now, function, worker, where.placesShare); best == nil || score > topScore {
			best, topScore = worker, score
		}
	}
	return best
}

// placementScore ranks a worker as the place to load a function. The dispatcher ranks a share of
// the workers for itself.
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

// eligible reports whether a worker may get attempts and load orders, perhaps after a health check:
// it is listed, drains neither by the list nor by its own report, and is within its slow-start budget.
// Every attempt and every load order passes it (rules 3 and 4).
func (b *Balancer) eligible(now int64, worker *workerState) bool {
	return worker.listed && worker.State == Active && b.leases.mayUse(now, worker) && b.slowStartAllows(now, worker)
}
