package lab

import (
	"runtime"
	"runtime/metrics"
	"slices"
	"time"
)

// views records the part of the fleet that the dispatchers' views cover at the end of the span, and
// the part of the terms whose digest at least half of the dispatchers received.
func (h *hollowWorld) views(result *HollowResult) {
	covered, alive := 0, 0
	for _, node := range h.nodes {
		if !node.dead {
			covered += node.d.FleetView().CoveredCount
			alive++
		}
	}
	result.Figures["covered"] = float64(covered) / float64(max(1, alive*len(h.nodes)))
	terms, received := 0, 0
	for t := h.from.UnixNano()/h.term + 1; (t+1)*h.term <= h.until.UnixNano(); t++ {
		if terms++; 2*h.digestHolders[t] >= len(h.nodes) {
			received++
		}
	}
	if terms > 0 {
		result.Figures["digests"] = float64(received) / float64(terms)
	}
}

// figures records the service, CPU time, messages and bytes of the span.
func (h *hollowWorld) figures(result *HollowResult) {
	f, m := result.Figures, &h.meter
	span := min(h.size.Span, max(0, h.now.Sub(h.from))).Seconds()
	f["calls"], f["twice"], f["late"], f["open"] = float64(h.calls), float64(h.twice), float64(h.late), float64(h.open)
	fallen := 0
	for _, worker := range h.workers {
		if worker.model.Collapsed() {
			fallen++
		}
	}
	f["fallen"] = float64(fallen)
	f["texts.oversize"] = float64(h.simWorld.oversize - h.oversize)
	if h.calls > 0 {
		f["worth"], f["unserved"], f["loads"] = h.earnedValue/h.offeredValue, float64(h.unserved)/float64(h.calls),
			float64(h.loads)/float64(h.calls)
		f["cpu.choice"] = float64(m.times[partChoice]) / float64(h.calls)
	}
	if slices.Sort(h.loadWaits); len(h.loadWaits) > 0 {
		f["p99.cold"] = h.loadWaits[(len(h.loadWaits)*99-1)/100]
	}
	if h.slowestNotification > 0 {
		f["acts.last"] = h.slowestNotification.Seconds()
	}
	for name, p := range map[string]workKind{
		"cpu.read": partRead, "cpu.list": partList, "cpu.list.whole": partFullList,
		"cpu.config": partConfig,
	} {
		if m.counts[p] > 0 {
			f[name] = float64(m.times[p]) / float64(m.counts[p])
		}
	}
	if span == 0 {
		return
	}
	each := float64(h.size.Dispatchers) * span
	f["cpu.upkeep"], f["cpu.write"] = float64(m.times[partUpkeep])/each, float64(m.times[partWrite])/each
	work := m.times[partUpkeep] + m.times[partWrite] + m.times[partRead] + m.times[partList]
	work += m.times[partFullList] - h.fullListTime
	control := float64(work)/each + f["cpu.config"]*hollowDailyChanges/(24*time.Hour).Seconds()
	f["cpu.control"], f["cpu.all"] = control/1e9, (control+float64(m.times[partChoice])/each)/1e9
	for i, name := range []string{"bytes.in", "messages.in", "bytes.out", "messages.out"} {
		f[name] = float64(m.totals[i]) / each
	}
	f["cpu.busiest"] = float64(m.busiest[0]) / 1e9
	for i, name := range []string{"bytes.in", "bytes.out", "collector.in", "collector.out"} {
		f[name+".busiest"] = float64(m.busiest[1+i])
	}
}

// measureMemory measures the dispatchers' memory: it releases the world's queues and calls, then
// the dispatchers, and takes the difference of the live heap.
func (h *hollowWorld) measureMemory(result *HollowResult) {
	n := float64(h.size.Dispatchers)
	clear(h.queue)
	h.queue = nil
	for _, node := range h.nodes {
		clear(node.open)
		clear(node.attempts)
		node.orders = nil
	}
	live := func() float64 {
		runtime.GC()
		metrics.Read(h.samples)
		return float64(h.samples[0].Value.Uint64())
	}
	full := live()
	result.Figures["resident"] = float64(resident()) / n
	for _, node := range h.nodes {
		node.d, node.list = nil, nil
	}
	result.Figures["heap"] = (full - live()) / n
	runtime.KeepAlive(h)
}
