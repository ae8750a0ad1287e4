package balancer

// This file owns the choice of a worker. The lightest holder with free lanes within ε of the lightest
// worker; else the lightest holder within ε; else the lightest worker. The middle of the loads stands for
// the others.

import (
	"math"
	"slices"
)

func (d *Balancer) chooseWorker(now int64, r *request) (best *worker, trial bool) {
	d.turn++
	all, well, lost, homes := 0, 0, 0, 0
	d.can, d.sorted = d.can[:0], d.sorted[:0]
	looked, home, fair, places := d.candidates(now, r)
	for i, w := range looked {
		if w.examinedIn == d.turn || !d.eligible(now, w) || !d.mayRetryAt(now, r, w) {
			continue
		}
		all++
		w.examinedIn, w.choiceHealthy = d.turn, d.isHealthy(now, w)
		if w.choiceHealthy {
			well++
		} else if d.trialDue(now, w, r) {
			return w, true // an ejection has run out: one call that is safe to repeat ends or renews it
		} else if d.isUnreachableByAll(now, w) {
			lost++
		}
		w.candidateIn, w.choiceLoad = d.turn, d.weightedLoad(now, w)
		if d.can = append(d.can, w); i < home {
			homes = len(d.can)
		}
		if i < fair {
			d.sorted = append(d.sorted, w.choiceLoad)
		}
	}
	if all == 0 {
		return nil, false
	}
	mid, low := median(d.sorted), math.Inf(1)
	// Ejection is capped: if half look sick, the judgement is distrusted and load alone decides. It is not
	// ours alone of those that no dispatcher hears, nor of a zone that is cut off: either may be over half.
	trust := 2*well > all-lost || 2*well == all-lost && well > 1
	for _, w := range d.can {
		if !w.choiceHealthy && (trust || lost < all && d.isUnreachableByAll(now, w)) {
			w.candidateIn--
			continue
		}
		if !w.responded {
			w.choiceLoad = max(w.choiceLoad, mid)
		}
		if r.triedAt(w) { // another worker first: what failed there may fail there again, save for one cut
			w.choiceLoad += float64(d.set.MaxAttempts) * (mid + 1)
		}
		low = min(low, w.choiceLoad)
	}
	// Where loads are frequent, copies are too many: ε then starts from the middle load, for a worker below
	// the middle has idle cores and being lighter than that buys less than a copy costs. Where nearly all is
	// found loaded it starts from the lightest, as in the paper, and functions spread. A slow store makes
	// loads dear: ε widens with it, so that busy holders are waited for.
	dear := max(d.set.OriginPrice+d.set.MemoryPrice, loadPriceScale) / loadPriceScale
	base := low + max(0, mid-low)*min(1, d.misses*dear)
	// ε is what a load costs, in calls: up to that a busy holder is the shorter way.
	eps := max(epsilon, d.expectedLoadTime(r.function)/d.stats[r.Class].mean)
	var free, full []*worker
	for _, h := range r.function.holders {
		w := h.worker
		if w.candidateIn != d.turn || w.choiceLoad > base*(1+eps) {
			continue
		}
		if h.validUntil > now && h.confirmed && h.inFlight < h.copies*r.function.concurrency {
			free = append(free, w)
		} else if h.copyExpected(now) {
			full = append(full, w)
		}
	}
	if len(free) == 0 {
		free = full
	}
	if len(free) > 0 {
		return d.lightestHolder(now, free, mid), false
	}
	// No holder will do: the lightest. Workers about as light as it are alike, and among them a hash of
	// function and worker decides, so that dispatchers load a function in one place. Each of many sees little
	// of any worker's load, and somebody has likely loaded the function in its place: the more there are, the
	// further alike reaches, up to ε. A function that needs more places has as many of them, ranked by a hash
	// of each dispatcher's own.
	bar, top := (1+min(eps, similarLoadTolerance*d.fleetFactor()))*max(low, mid), 0.0
	for i := 0; i < len(d.can) && (i < homes || best == nil); i++ {
		w := d.can[i]
		if w.candidateIn == d.turn && w.choiceLoad <= bar {
			u := hashRank(r.function.id, w.Worker)
			x := rendezvousScore(u, w.Weight*d.capacityFraction(now, w))
			if u > 1-places {
				x += rendezvousScore(hashRank(r.function.id^FuncID(mix64(uint64(d.set.DispatcherIndex+1))), w.Worker), 1e6)
			}
			if h := r.function.holderAt(w, false); h != nil && h.orderBackoffUntil > now {
				x /= 1e9 // it had no room just now
			}
			if best == nil || x > top {
				best, top = w, x
			}
		}
	}
	return best, false
}

// candidates are what a choice looks at: of a short list all; of a long one first a window of the ring, the
// same at all dispatchers (a hot function has several, each dispatcher one of them), then some drawn, so far
// they stand for all, and believed holders. Harm: the lightest, and trials due, are found only among these.
func (d *Balancer) candidates(now int64, r *request) (ws []*worker, home, fair int, places float64) {
	places = d.placesNeeded(now, r)
	if n := len(d.list); n <= d.set.FullScanLimit {
		return d.list, n, n, places / float64(n)
	}
	windows, key := max(1, math.Ceil(places/ringWindow)), uint64(r.function.id)
	if own := mix64(key^uint64(d.set.DispatcherIndex+1)) % uint64(windows); own > 0 {
		key = mix64(key + own)
	}
	ws = d.ring.Window(d.near[:0], mix64(key), 0, ringWindow)
	home, ws = len(ws), d.appendSample(ws)
	fair, hs := len(ws), r.function.holders
	for i, from := 0, d.rng.IntN(len(hs)+1); i < min(len(hs), ringWindow); i++ {
		ws = append(ws, hs[(from+i)%len(hs)].worker)
	}
	d.near = ws
	return ws, home, fair, places / (windows * ringWindow)
}

// lightestHolder is the lightest holder. What is known of others grows old, and is known to all alike: if all took
// the very lightest they would meet there, so the older it is, the more of about its load are drawn from.
func (d *Balancer) lightestHolder(now int64, ws []*worker, mid float64) (best *worker) {
	low, n := math.Inf(1), 0
	for _, w := range ws {
		low = min(low, w.choiceLoad)
	}
	old := 1 - math.Exp(-float64(2*(now-d.digestAt))/float64(d.minAim))
	bar := max(low, old*mid) * (1 + similarLoadTolerance*old)
	for _, w := range ws {
		if w.choiceLoad <= bar {
			if n++; d.rng.IntN(n) == 0 {
				best = w
			}
		}
	}
	return best
}

// fleetFactor is by how much the dispatchers are more than few.
func (d *Balancer) fleetFactor() float64 {
	return max(1, float64(d.set.Dispatchers)/wellInformedDispatchers)
}

// placesNeeded is how many workers the calls of a function need, by Little's law: what we send, taken for every
// dispatcher's share, at half of the lanes of one copy each. The call at hand does not count, nor, where many
// dispatch, what may be chance: of functions called once or twice by each everyone would think them hot.
func (d *Balancer) placesNeeded(now int64, r *request) float64 {
	f := r.function
	keep := float64(d.callRateWindow())
	long := keep * (1 - math.Exp(-float64(now-d.born+d.minAim/2)/keep)) // a new one has seen less
	n := f.recentCalls * math.Exp(-float64(now-f.recentCallsAt)/keep)
	n = max(0, n-(1-1/d.fleetFactor())*math.Sqrt(n))
	return n / long * float64(d.set.Dispatchers) * d.stats[r.Class].mean / (targetConcurrencyUse * float64(f.concurrency))
}

func (d *Balancer) callRateWindow() int64 { return max(d.set.KeepAlive, d.minAim) }

// eligible is the one gate of every send and order: listed, not draining, in the cold budget (rules 3, 4).
func (d *Balancer) eligible(now int64, w *worker) bool {
	return w.listed && w.State == Active && d.slowStartAllows(now, w)
}

// appendSample appends workers drawn from those that are on, some perhaps twice: in a release a third of a list may be draining.
func (d *Balancer) appendSample(ws []*worker) []*worker {
	for range min(sampleSize, len(d.on)) {
		ws = append(ws, d.on[d.rng.IntN(len(d.on))])
	}
	return ws
}

// sampleWorkers are workers that stand for all: of a short list all, of a long one some drawn; good until the next choice.
func (d *Balancer) sampleWorkers() []*worker {
	if len(d.list) <= d.set.FullScanLimit {
		return d.list
	}
	d.near = d.appendSample(d.near[:0])
	return d.near
}

// hashRank is the rank of a worker for a function, between 0 and 1, the same at every dispatcher.
func hashRank(f FuncID, w WorkerID) float64 {
	return (float64(mix64(uint64(f)^uint64(w)*0x9e3779b97f4a7c15)>>11) + 0.5) / (1 << 53)
}

// rendezvousScore makes of such a rank one in which the larger a worker is, the more functions rank it first (weighted rendezvous
// hashing).
func rendezvousScore(u, weight float64) float64 { return max(weight, 1e-9) / -math.Log(u) }

// median is the median, which a few crowded workers do not move; 0 of none.
func median(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return (xs[len(xs)/2] + xs[(len(xs)-1)/2]) / 2
}
