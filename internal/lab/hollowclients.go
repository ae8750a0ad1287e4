package lab

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// home returns the dispatcher that the clients of dispatcher n use: n itself, or another one while
// n is down.
func (h *hollowWorld) home(n int) *simNode {
	d := len(h.nodes)
	for k := range d {
		if node := h.nodes[(n+k*(d/10+1))%d]; !node.dead {
			return node
		}
	}
	return h.nodes[n]
}

// gap returns the time until a dispatcher's next call; x is that time as a multiple of the mean
// gap.
func (h *hollowWorld) gap(x float64) time.Duration {
	first, left := h.size.WarmCalls, h.from.Add(-hollowRampUp).Sub(h.now)
	if first <= 0 || left <= 0 {
		return time.Duration(x / h.size.Calls * float64(time.Second))
	}
	if at := x / first * float64(time.Second); at < float64(left) {
		return time.Duration(at)
	}
	return left + time.Duration((x-first*left.Seconds())/h.size.Calls*float64(time.Second))
}

// clients schedules the calls of a dispatcher's clients until the end of the span.
func (h *hollowWorld) clients(n int, rng *rand.Rand, seq int) {
	h.after(h.gap(rng.ExpFloat64()), func() {
		if !h.now.Before(h.until) {
			return
		}
		u, class := rng.Float64(), 0
		for u -= h.f.Classes[0].Share; u >= 0 && class < len(h.f.Classes)-1; {
			class++
			u -= h.f.Classes[class].Share
		}
		call := &simCall{
			class: class, model: h.load.model(h.popular.draw(rng.Float64()), h.now), intended: h.now,
			name: strconv.Itoa(n) + "." + strconv.Itoa(seq),
		}
		h.open++
		h.simWorld.dispatcherFor(n).arrive(call)
		h.clients(n, rng, seq+1)
	})
}

// callEnded records a call that has ended; only calls intended in the span enter the figures.
func (h *hollowWorld) callEnded(call *simCall) {
	if h == nil {
		return
	}
	h.open--
	if call.intended.Before(h.from) {
		return
	}
	class := h.f.Classes[call.class]
	h.calls++
	h.offeredValue += class.PriorityWeight
	took := call.ended.Sub(call.intended)
	switch {
	case !call.served:
		h.unserved++
	case took <= class.LatencyObjective:
		h.earnedValue += class.PriorityWeight
	default:
		h.earnedValue += 0.2 * class.PriorityWeight
	}
	if call.served && call.awaitedLoad {
		h.loadWaits = append(h.loadWaits, took.Seconds())
	}
}

// countLoad counts a job that began a load, within the measured span of the run only.
func (h *hollowWorld) countLoad(job *Job) {
	if h != nil && h.meter.on && job.Warmth == BeganLoad {
		h.loads++
	}
}
