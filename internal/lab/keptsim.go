package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// KeptSimResult is what a restart in virtual time came to.
type keptSimResult struct {
	peak, unserved, service float64
	twice, late, fallen     int
}

// keptSim restarts a whole fleet in virtual time: warm up, replace four boxes in ten, crash, restart within a second.
func keptSim(f *Figures, dispatchers, boxes int, rate float64, fresh bool, seed uint64) (*keptSimResult, error) {
	w := &simWorld{
		f: f, byID: map[balancer.WorkerID]*simBox{}, popular: newZipf(8*boxes, 0.4), price: peerPrice,
		load: Load{Rate: rate / float64(dispatchers), Models: 8 * boxes, Zipf: 0.4, Turn: 12 * time.Second, Retries: 2},
	}
	w.now = time.Unix(1_800_000_000, 0)
	began := w.now
	w.began = began
	var list endpoints.Update
	list.Full, list.Cursor = true, 1
	for i := range boxes {
		x := &simBox{id: balancer.WorkerID(0x100 + i*7919), box: NewBox(f.Box, began.Add(-time.Hour))}
		w.boxes = append(w.boxes, x)
		w.byID[x.id] = x
		list.Endpoints = append(list.Endpoints, endpoints.Endpoint{ID: x.id, Zone: i % 2, State: balancer.Active, Weight: 2, Start: began.Add(-time.Hour)})
	}
	w.nodes = make([]*simNode, dispatchers)
	for n := range w.nodes {
		s, err := w.node(n, seed, false)
		if err != nil {
			return nil, err
		}
		w.nodes[n] = s
		s.list.HandleUpdate(w.now, list)
		s.flush()
	}
	const warm, watch = 6 * time.Second, 6 * time.Second
	for n := range w.nodes {
		w.arrivals(n, rand.New(rand.NewPCG(seed, uint64(n)<<8)), 0, began.Add(warm+time.Second+watch))
	}
	w.run(began.Add(warm))
	lists := make([]endpoints.Snapshot, dispatchers)
	for n, s := range w.nodes {
		s.dead = true
		lists[n] = s.list.TakeSnapshot(w.now)
		age := keptAges[n%len(keptAges)]
		lists[n].Confirmed, lists[n].Saved = lists[n].Confirmed.Add(-age), lists[n].Saved.Add(-age)
		for i := range lists[n].Endpoints {
			lists[n].Endpoints[i].VerifiedAt = time.Time{}
		}
	}
	for i, x := range w.boxes {
		if i >= boxes/10*10 {
			break // whole tens, so that it is four in ten
		}
		if x.fate = fateOf(i); x.fate == drains {
			x.box.Drain()
		}
	}
	restart := rand.New(rand.NewPCG(seed, 99))
	for n := range w.nodes {
		w.after(time.Duration(restart.Float64()*float64(time.Second)), func() {
			s, err := w.node(n, seed+1, fresh)
			if err != nil {
				panic(err) // the same settings were good before
			}
			w.nodes[n] = s
			s.list.Restore(w.now, lists[n])
			s.flush()
			s.tick(w.now)
		})
	}
	crashed, back := w.now, w.now.Add(time.Second)
	w.run(back.Add(watch + 5*time.Second))
	return w.keptResult(crashed, back, watch), nil
}

func (w *simWorld) keptResult(crashed, back time.Time, watch time.Duration) *keptSimResult {
	r := &keptSimResult{twice: w.twice, late: w.late}
	total, staying, most := 0, 0, 0
	for _, x := range w.boxes {
		if x.box.Fallen() {
			r.fallen++
		}
		if x.fate != stays {
			continue
		}
		var in []time.Time
		for _, t := range x.took {
			if t.After(back) && t.Before(back.Add(watch)) {
				in = append(in, t)
			}
		}
		staying++
		total += len(in)
		most = max(most, mostInOneSecond(in))
	}
	r.peak = float64(most) / math.Max(float64(total)/float64(max(1, staying))/watch.Seconds(), 1e-9)
	all, bad := 0, 0
	asked, earned := 0.0, 0.0
	for _, c := range w.calls {
		k := w.f.Classes[c.class]
		if c.intended.After(crashed) {
			asked += k.Worth
			if c.served && c.ended.Sub(c.intended) <= k.Aim {
				earned += k.Worth
			} else if c.served {
				earned += 0.2 * k.Worth
			}
		}
		if c.intended.After(back) {
			if all++; !c.served {
				bad++
			}
		}
	}
	r.unserved = float64(bad) / float64(max(1, all))
	r.service = earned / math.Max(asked, 1)
	return r
}
