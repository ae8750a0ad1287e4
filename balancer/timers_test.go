package balancer

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// TestEarlyTimerIsSetAgain checks that a timer that fires slightly early is set again, so that the
// request is still answered.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 0)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	now := int64(0)
	for range 2000 {
		delay := host.timerDelays[len(host.timerDelays)-1]
		host.timerDelays = host.timerDelays[:0]
		if delay > 1000 {
			delay -= 334
		}
		now += delay
		balancer.HandleTimer(now, host.timerRef)
		if host.answers["a"] != "" {
			return
		}
		if len(host.timerDelays) == 0 {
			t.Fatalf("no timer set after the one that fired at %d ms", now/ms)
		}
	}
	t.Fatal("the request was never answered")
}

// standardHeap is a timerHeap that is used through container/heap.
type standardHeap struct{ timerHeap }

func (h *standardHeap) Len() int { return len(h.timerHeap) }

func (h *standardHeap) Less(i, j int) bool { return h.timerHeap[i].at < h.timerHeap[j].at }

func (h *standardHeap) Swap(i, j int) {
	h.timerHeap[i], h.timerHeap[j] = h.timerHeap[j], h.timerHeap[i]
}

func (h *standardHeap) Push(x any) { h.timerHeap = append(h.timerHeap, x.(timerEntry)) }

func (h *standardHeap) Pop() any {
	n := len(h.timerHeap) - 1
	x := h.timerHeap[n]
	h.timerHeap = h.timerHeap[:n]
	return x
}

// TestTimerHeapOrdersAsContainerHeap checks that entries are popped in the same order as with
// container/heap, including entries with equal times: the order of events, and so every choice,
// depends on it.
func TestTimerHeapOrdersAsContainerHeap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	ours, theirs := timerHeap{}, &standardHeap{}
	for i := range 20_000 {
		if rng.IntN(5) < 3 || len(ours) == 0 {
			x := timerEntry{at: int64(rng.IntN(40)), request: &requestState{arrivedAt: int64(i)}}
			ours.push(x)
			heap.Push(theirs, x)
		} else if got, want := ours.pop(), heap.Pop(theirs).(timerEntry); got != want {
			t.Fatalf("step %d: popped time %d of request %d, want time %d of request %d", i, got.at,
				got.request.arrivedAt, want.at, want.request.arrivedAt)
		}
		if len(ours) > 3000 {
			ours, theirs.timerHeap = ours[:0], theirs.timerHeap[:0]
		}
	}
}
