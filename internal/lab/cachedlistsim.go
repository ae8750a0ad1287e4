package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// cachedListSimResult is the result of a restart in virtual time.
type cachedListSimResult struct {
	peak, unserved, service float64
	twice, late, fallen     int
}

// cachedListSim restarts a complete fleet in virtual time: warm-up, replacement of four workers in
// ten, crash, restart within a second.
func cachedListSim(
	figures *Figures, dispatchers, workers int, rate float64, fresh bool, seed uint64,
) (*cachedListSimResult, error) {
	const warm, watch = 6 * time.Second, 6 * time.Second
	w, err := cachedListSimWorld(figures, dispatchers, workers, rate, seed)
	if err != nil {
		return nil, err
	}
	for n := range w.nodes {
		w.arrivals(n, rand.New(rand.NewPCG(seed, uint64(n)<<8)), 0, w.began.Add(warm+time.Second+watch))
	}
	w.run(w.began.Add(warm))
	lists := w.crashAll()
	w.replaceFourInTen()
	restart := rand.New(rand.NewPCG(seed, 99))
	for n := range w.nodes {
		w.after(time.Duration(restart.Float64()*float64(time.Second)), func() {
			node, err := w.node(n, seed+1, fresh)
			if err != nil {
				panic(err) // New accepted the same settings for the first start
			}
			w.nodes[n] = node
			node.list.Restore(w.now, lists[n])
			node.flush()
			node.tick(w.now)
		})
	}
	crashed, back := w.now, w.now.Add(time.Second)
	w.run(back.Add(watch + 5*time.Second))
	return w.cachedListResult(crashed, back, watch), nil
}

// cachedListSimWorld sets up a fleet in virtual time without peer messages, whose dispatchers have
// received the full list.
func cachedListSimWorld(figures *Figures, dispatchers, workers int, rate float64, seed uint64) (*simWorld, error) {
	w := &simWorld{
		f: figures, byID: map[balancer.WorkerID]*simWorker{}, popular: newZipf(8*workers, 0.4),
		simGossip: simGossip{price: peerPrice},
		load: Load{
			Rate: rate / float64(dispatchers), Models: 8 * workers, Zipf: 0.4,
			PopularityPeriod: 12 * time.Second, Retries: 2,
		},
	}
	w.now = time.Unix(1_800_000_000, 0)
	w.began = w.now
	started := w.began.Add(-time.Hour)
	list := endpoints.Update{Full: true, Cursor: 1}
	for i := range workers {
		worker := w.add(i, started)
		list.Endpoints = append(list.Endpoints, endpoints.Endpoint{
			ID: worker.id, Zone: i % 2, State: balancer.Active, Weight: 2, Start: started,
		})
	}
	w.nodes = make([]*simNode, dispatchers)
	for n := range w.nodes {
		node, err := w.node(n, seed, false)
		if err != nil {
			return nil, err
		}
		w.nodes[n] = node
		node.list.HandleUpdate(w.now, list)
		node.flush()
	}
	return w, nil
}

// crashAll kills all dispatchers at once and returns their cached lists, with ConfirmedAt and
// SavedAt moved back by cachedListAges and VerifiedAt cleared.
func (w *simWorld) crashAll() []endpoints.Snapshot {
	lists := make([]endpoints.Snapshot, len(w.nodes))
	for n, node := range w.nodes {
		node.dead = true
		lists[n] = node.list.TakeSnapshot(w.now)
		age := cachedListAges[n%len(cachedListAges)]
		lists[n].ConfirmedAt, lists[n].SavedAt = lists[n].ConfirmedAt.Add(-age), lists[n].SavedAt.Add(-age)
		for i := range lists[n].Endpoints {
			lists[n].Endpoints[i].VerifiedAt = time.Time{}
		}
	}
	return lists
}

// replaceFourInTen applies a fault to four workers of each complete ten.
func (w *simWorld) replaceFourInTen() {
	for i, worker := range w.workers[:len(w.workers)/10*10] {
		if worker.fault = faultOf(i); worker.fault == faultDrains {
			worker.model.Drain()
		}
	}
}

// cachedListResult returns the result of a restart: crashed is the time of the crash, back the end
// of the restart, watch the time after it in which peaks are counted.
func (w *simWorld) cachedListResult(crashed, back time.Time, watch time.Duration) *cachedListSimResult {
	result := &cachedListSimResult{twice: w.twice, late: w.late, peak: w.peakAtRemaining(back, watch)}
	for _, worker := range w.workers {
		if worker.model.Collapsed() {
			result.fallen++
		}
	}
	all, unserved := 0, 0
	asked, earned := 0.0, 0.0
	for _, call := range w.calls {
		if call.intended.After(crashed) {
			asked += w.f.Classes[call.class].PriorityWeight
			earned += w.callValue(call)
		}
		if call.intended.After(back) {
			if all++; !call.served {
				unserved++
			}
		}
	}
	result.unserved = float64(unserved) / float64(max(1, all))
	result.service = earned / math.Max(asked, 1)
	return result
}

// peakAtRemaining returns the calls of the busiest second of any remaining worker in a span,
// relative to the mean of all remaining workers.
func (w *simWorld) peakAtRemaining(from time.Time, span time.Duration) float64 {
	total, staying, most := 0, 0, 0
	for _, worker := range w.workers {
		if worker.fault != faultNone {
			continue
		}
		var in []time.Time
		for _, t := range worker.admittedAt {
			if t.After(from) && t.Before(from.Add(span)) {
				in = append(in, t)
			}
		}
		staying++
		total += len(in)
		most = max(most, mostInOneSecond(in))
	}
	return float64(most) / math.Max(float64(total)/float64(max(1, staying))/span.Seconds(), 1e-9)
}
