package lab

import (
	"fmt"
	"slices"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// notifyChange notifies all dispatchers of changed workers, each after its own delay of up to
// notifyDelay, which simulates the platform's watch. The notification time is measured from since,
// the time of the first change.
func (h *hollowWorld) notifyChange(since time.Time, workers ...int) {
	h.cursor++
	u := endpoints.Update{Cursor: h.cursor}
	for _, i := range workers {
		u.Endpoints = append(u.Endpoints, h.listed[i])
	}
	for n, d := range h.delay {
		h.after(d, func() {
			if node := h.nodes[n]; !node.dead {
				h.notify(node, u)
				h.slowestNotification = max(h.slowestNotification, h.now.Sub(since))
			}
		})
	}
}

// changeList makes one change: a worker that was drained for hollowDrainedTime comes back, another
// one drains, or a weight changes. since is the start of the measured time; nil means now.
func (h *hollowWorld) changeList(since *time.Time) {
	from := h.now
	if since != nil {
		from = *since
	}
	if len(h.drainedWorkers) > 0 && h.now.Sub(h.drainedAt[0]) >= hollowDrainedTime {
		i := h.drainedWorkers[0]
		h.drainedWorkers, h.drainedAt = h.drainedWorkers[1:], h.drainedAt[1:]
		worker := h.workers[i]
		worker.model, worker.drained = NewWorkerModel(h.f.Worker, h.now), time.Time{}
		h.listed[i].State, h.listed[i].Start, h.changed[i] = balancer.Active, h.now, h.now
		h.notifyChange(from, i)
		return
	}
	for range 8 { // find an active worker that did not change within 2*notifyDelay
		i := h.rng.IntN(len(h.workers))
		if h.listed[i].State != balancer.Active || h.now.Sub(h.changed[i]) < 2*notifyDelay ||
			h.workers[i].fault != faultNone {
			continue
		}
		h.changed[i] = h.now
		if 20*len(h.drainedWorkers) < len(h.workers) && h.rng.IntN(2) == 0 {
			h.workers[i].model.Drain()
			h.workers[i].drained = h.now.Add(notifyDelay)
			h.listed[i].State = balancer.Draining
			h.drainedWorkers, h.drainedAt = append(h.drainedWorkers, i), append(h.drainedAt, h.now)
		} else {
			h.listed[i].Weight = 3.5 - h.listed[i].Weight // 2 or 1.5
		}
		h.notifyChange(from, i)
		return
	}
}

// configure applies a new configuration at all running dispatchers.
func (h *hollowWorld) configure() {
	for _, node := range h.nodes {
		if node.dead {
			continue
		}
		h.meter.begin(node.n, partConfig)
		_, err := node.d.AddClasses(h.now.UnixNano(),
			[]balancer.Class{{
				LatencyObjective: int64(time.Second), ClientTimeout: int64(4 * time.Second),
				PriorityWeight: 1, LatePriorityWeight: 0.2,
			}})
		node.d.SetMaxAttempts(h.now.UnixNano(), 5)
		h.meter.end()
		if err != nil && h.err == nil {
			h.err = fmt.Errorf("hollow run: apply a new configuration: %w", err)
		}
	}
}

// fault schedules the size's fault.
func (h *hollowWorld) fault() {
	span, dispatchers := h.size.Span, h.size.Dispatchers
	middle := h.from.Add(span / 2)
	switch h.size.Fault {
	case FaultOneDown:
		h.at(h.from.Add(-h.size.Warm/3), func() { h.kill(dispatchers / 2) })
	case FaultRestarts:
		h.scheduleRestarts()
	case FaultZone:
		h.at(h.from.Add(span/8), h.loseZone)
		h.at(h.from.Add(span/8+min(hollowOutage, span/2)), h.restoreZone)
	case FaultRegions:
		h.at(h.from.Add(span/3), func() { h.split = true })
		h.at(h.from.Add(span*2/3), func() { h.split = false })
	case FaultFullList:
		h.at(middle, h.publishFullList)
	case FaultChanges:
		rate := max(hollowDailyChanges/(24*time.Hour).Seconds(), 1/span.Seconds())
		for at := range ticks(h.from, h.until, rate) {
			h.at(at, func() { h.changeList(nil); h.configure() })
		}
	case FaultBurst:
		for i := range hollowBurst {
			at := middle.Add(time.Duration(i) * time.Second / hollowBurst)
			h.at(at, func() { h.changeList(&middle); h.configure() })
		}
	case FaultRelease:
		h.release(h.from, span*2/3)
	}
}

// scheduleRestarts schedules the restart of one dispatcher in 19, spread over the span.
func (h *hollowWorld) scheduleRestarts() {
	dispatchers := h.size.Dispatchers
	count := max(1, dispatchers/19)
	for at := range ticks(h.from, h.until, float64(count)/h.size.Span.Seconds()) {
		h.at(at, func() {
			n := int(h.restarts) * 19 % dispatchers
			h.kill(n)
			h.after(min(hollowDowntime, h.size.Span/4), func() { h.restart(n) })
		})
	}
}

// loseZone kills a tenth of the dispatchers and cuts off the workers of zone 0.
func (h *hollowWorld) loseZone() {
	for n := range max(1, h.size.Dispatchers/10) {
		h.kill(n)
	}
	for _, worker := range h.workers {
		if worker.zone == 0 {
			worker.fault = faultCutOff
		}
	}
}

// restoreZone restarts the dispatchers and workers that loseZone took down.
func (h *hollowWorld) restoreZone() {
	var back []int
	for i, worker := range h.workers {
		if worker.zone == 0 {
			worker.fault, worker.model = faultNone, NewWorkerModel(h.f.Worker, h.now)
			h.listed[i].Start = h.now
			back = append(back, i)
		}
	}
	for n := range max(1, h.size.Dispatchers/10) {
		h.restart(n)
	}
	h.notifyChange(h.now, back...)
}

// publishFullList sends all dispatchers the full list at once; cpu.list.whole then counts only this
// list.
func (h *hollowWorld) publishFullList() {
	h.meter.times[partFullList], h.meter.counts[partFullList], h.fullListTime = 0, 0, 0
	h.cursor++
	for _, node := range h.nodes {
		h.notify(node, endpoints.Update{Full: true, Cursor: h.cursor, Endpoints: h.listed})
	}
}

// release replaces every third worker in ten steps over span, beginning at from: as many new
// workers start, and the old ones drain and stay listed. Every other dispatcher is restarted, one
// after the other.
func (h *hollowWorld) release(from time.Time, span time.Duration) {
	old, d := h.size.Executors, h.size.Dispatchers
	for step := range 10 {
		h.at(from.Add(span*time.Duration(step)/10), func() {
			var changed []int
			for i := 3 * (old * step / 30); i < 3*(old*(step+1)/30); i += 3 {
				if h.listed[i].State != balancer.Active { // already draining
					continue
				}
				worker := h.add(len(h.workers), h.now)
				worker.zone = i % 10
				changed = append(changed, i, len(h.listed))
				h.listed = append(h.listed, endpoints.Endpoint{
					ID: worker.id, Zone: worker.zone, State: balancer.Active,
					Weight: 2, Start: h.now,
				})
				h.changed = append(h.changed, h.now)
				h.workers[i].model.Drain()
				h.workers[i].drained = h.now.Add(notifyDelay)
				h.listed[i].State = balancer.Draining
			}
			h.notifyChange(h.now, changed...)
		})
	}
	for n := 1; n < d; n += 2 {
		h.at(from.Add(span*time.Duration(n)/time.Duration(d)), func() {
			h.kill(n)
			h.after(min(hollowDowntime, span/4), func() { h.restart(n) })
		})
	}
}

// kill stops a dispatcher: its clients' calls break off and are sent again, while attempts already
// sent to workers continue.
func (h *hollowWorld) kill(n int) {
	node := h.nodes[n]
	node.dead = true
	ids := make([]string, 0, len(node.open))
	for id := range node.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		sent := node.open[id]
		delete(node.open, id)
		h.after(0, func() { node.retry(sent.call, 200*time.Millisecond, sent.attempts == 0) })
	}
	h.restarts++
}

// restart restarts a killed dispatcher.
func (h *hollowWorld) restart(n int) {
	if err := h.start(n); err != nil && h.err == nil {
		h.err = err
	}
}
