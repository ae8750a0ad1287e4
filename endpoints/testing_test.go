package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

var t0 = time.Unix(1_800_000_000, 0)

func box(id int) Endpoint {
	return Endpoint{ID: balancer.WorkerID(id), Addr: "127.0.0.1:1", State: balancer.Active, Weight: 2, Start: t0.Add(-time.Hour), RequestRate: 10}
}

func keptList(age time.Duration, boxes ...Endpoint) Snapshot {
	return Snapshot{Epoch: "e1", Cursor: 7, Confirmed: t0.Add(-age), Saved: t0.Add(-age), Endpoints: boxes}
}

// view is the list as the module has it, from what was published.
type view map[balancer.WorkerID]Endpoint

func (v view) take(l *List) Actions {
	a := l.TakeActions()
	for _, p := range a.Publish {
		if p.Kind != balancer.EndpointsDelta {
			clear(v)
		}
		for _, b := range p.Endpoints {
			if b.State == balancer.Removed {
				delete(v, b.ID)
			} else {
				v[b.ID] = b
			}
		}
	}
	return a
}

func (v view) on() (ids []int) {
	for id, b := range v {
		if b.State == balancer.Active {
			ids = append(ids, int(id))
		}
	}
	slices.Sort(ids)
	return ids
}

// probes runs the list's ticks until d has passed and answers every probe by its box.
func probes(l *List, v view, from time.Time, d time.Duration, answer func(Endpoint) Observation) (asked map[balancer.WorkerID]int) {
	asked = map[balancer.WorkerID]int{}
	for now := from; now.Before(from.Add(d)); now = now.Add(5 * time.Millisecond) {
		l.Tick(now)
		for _, b := range v.take(l).Probe {
			asked[b.ID]++
			l.Probed(now, b.ID, answer(b))
		}
		v.take(l)
	}
	return asked
}

func always(s Observation) func(Endpoint) Observation { return func(Endpoint) Observation { return s } }
