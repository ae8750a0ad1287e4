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
	// wellInformedDispatchers is the number of dispatchers of which each still sees enough of every
	// worker by itself.
	wellInformedDispatchers = 5.0
	// failedOrderPenalty divides the score of a worker that had no room for a load just now.
	failedOrderPenalty = 1e9
)

// choiceState is the scratch of a choice.
type choiceState struct {
	number     int            // of the choice
	examined   []*workerState // in a long list
	candidates []*workerState // that may take the call
	loads      []float64      // of which the median is taken
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
func (b *Balancer) chooseWorker(now int64, r *requestState) (best *workerState, trial bool) {
	b.choice.number++
	examined := b.workersToExamine(now, r)
	set := b.examine(now, r, examined)
	if set.trial != nil {
		return set.trial, true
	}
	if set.total == 0 {
		return nil, false
	}
	set.medianLoad = median(b.choice.loads)
	set.minLoad = b.excludeUnhealthy(now, r, set)
	slack := max(minLoadSlack, b.loads.expected(r.function)/b.latencies[r.Class].mean)
	if holders := b.holdersWithin(now, r.function, b.loadBase(set)*(1+slack)); len(holders) > 0 {
		return b.lightestHolder(now, holders, set.medianLoad), false
	}
	limit := (1 + min(slack, similarLoadTolerance*b.fleetFactor())) * max(set.minLoad, set.medianLoad)
	return b.preferredWorker(now, r.function, set.preferred, limit, examined.placesShare), false
}

// examine collects the eligible workers with their loads as candidates. It stops at a worker that
// is due for a trial.
func (b *Balancer) examine(now int64, r *requestState, examined examinedWorkers) (set candidateSet) {
	number := b.choice.number
	b.choice.candidates, b.choice.loads = b.choice.candidates[:0], b.choice.loads[:0]
	for i, w := range examined.workers {
		if w.examinedIn == number || !b.eligible(now, w) || !b.mayRetryAt(now, r, w) {
			continue
		}
		set.total++
		w.examinedIn, w.choiceHealthy = number, b.isHealthy(now, w)
		switch {
		case w.choiceHealthy:
			set.healthy++
		case b.trialDue(now, w, r):
			set.trial = w
			return set
		case b.isUnreachableByAll(now, w):
			set.unreachable++
		}
		w.candidateIn, w.choiceLoad = number, b.weightedLoad(now, w)
		b.choice.candidates = append(b.choice.candidates, w)
		if i < examined.preferred {
			set.preferred = len(b.choice.candidates)
		}
		if i < examined.representative {
			b.choice.loads = append(b.choice.loads, w.choiceLoad)
		}
	}
	return set
}

// excludeUnhealthy takes the unhealthy workers out of the candidates, adjusts the loads of unknown
// and of already tried ones, and returns the lightest load.
func (b *Balancer) excludeUnhealthy(now int64, r *requestState, set candidateSet) (minLoad float64) {
	trusted := set.ejectionsTrusted()
	minLoad = math.Inf(1)
	for _, w := range b.choice.candidates {
		if !w.choiceHealthy && (trusted || set.unreachable < set.total && b.isUnreachableByAll(now, w)) {
			w.candidateIn--
			continue
		}
		if !w.responded {
			w.choiceLoad = max(w.choiceLoad, set.medianLoad)
		}
		if r.triedAt(w) { // what failed there may fail there again
			w.choiceLoad += float64(b.settings.MaxAttempts) * (set.medianLoad + 1)
		}
		minLoad = min(minLoad, w.choiceLoad)
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
// are none, those at which a copy is expected.
func (b *Balancer) holdersWithin(now int64, f *functionState, limit float64) []*workerState {
	var free, busy []*workerState
	for _, h := range f.holders {
		if h.worker.candidateIn != b.choice.number || h.worker.choiceLoad > limit {
			continue
		}
		if h.hasFreeCapacity(now) {
			free = append(free, h.worker)
		} else if h.copyExpected(now) {
			busy = append(busy, h.worker)
		}
	}
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
	for _, w := range holders {
		minLoad = min(minLoad, w.choiceLoad)
	}
	staleness := 1 - math.Exp(-float64(2*(now-b.gossip.digestAt))/float64(b.shortestObjective))
	limit := max(minLoad, staleness*medianLoad) * (1 + similarLoadTolerance*staleness)
	for _, w := range holders {
		if w.choiceLoad > limit {
			continue
		}
		count++
		if b.rng.IntN(count) == 0 {
			best = w
		}
	}
	return best
}

// preferredWorker returns the candidate up to a load that ranks highest for a function, of its ring
// window if that has one. Dispatchers rank alike, so that they load a function in one place; each
// sees little of the load of any worker, and the more of them there are, the wider the range of
// loads that count as alike. Of a function that needs more places, a share of the workers is ranked
// by each dispatcher for itself.
func (b *Balancer) preferredWorker(now int64, f *functionState, preferred int, limit, placesShare float64) (best *workerState) {
	topScore := 0.0
	for i, w := range b.choice.candidates {
		if i >= preferred && best != nil {
			break
		}
		if w.candidateIn != b.choice.number || w.choiceLoad > limit {
			continue
		}
		if score := b.placementScore(now, f, w, placesShare); best == nil || score > topScore {
			best, topScore = w, score
		}
	}
	return best
}

// placementScore ranks a worker as the place to load a function.
func (b *Balancer) placementScore(now int64, f *functionState, w *workerState, placesShare float64) float64 {
	rank := hashRank(f.id, w.Worker)
	score := rendezvousScore(rank, w.Weight*b.capacityFraction(now, w))
	if rank > 1-placesShare {
		score += rendezvousScore(hashRank(b.ownPlacementKey(f.id), w.Worker), placementRankWeight)
	}
	if h := f.holderAt(w, false); h != nil && h.orderBackoffUntil > now {
		score /= failedOrderPenalty
	}
	return score
}

// fleetFactor returns by how much the dispatchers are more than those of which each is well
// informed by itself; 1 for few.
func (b *Balancer) fleetFactor() float64 {
	return max(1, float64(b.settings.Dispatchers)/wellInformedDispatchers)
}

// eligible reports whether w may get attempts and load orders: it is listed, not draining and
// within its slow-start budget. Every attempt and every load order passes it (rules 3 and 4).
func (b *Balancer) eligible(now int64, w *workerState) bool {
	return w.listed && w.State == Active && b.slowStartAllows(now, w)
}
