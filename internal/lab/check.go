package lab

// The checkers: each finds violations of one rule in the observations of workers, clients and
// relays. What a dispatcher reports about itself is not used.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	drainAllowance = time.Second + 50*time.Millisecond
	callKeyLength  = 13 // leading characters of an id that all attempts of a call share
)

// RunTwice counts non-idempotent calls that workers admitted more than once, in any of their
// attempts.
func RunTwice(figures *Figures, workers ...[]ObservedCall) (n int) {
	took := map[string]int{}
	for _, observed := range workers {
		for _, observation := range observed {
			if observation.Admitted && figures.Classes[observation.Class].NotIdempotent &&
				len(observation.ID) >= callKeyLength {
				if took[observation.ID[:callKeyLength]]++; took[observation.ID[:callKeyLength]] == 2 {
					n++
				}
			}
		}
	}
	return n
}

// Unanswered counts attempts that were admitted and got no complete answer (lost), and answers that
// no worker gave (wrong). An attempt that crossed the close of its connection counts as lost unless
// workers are given and none of them received it. excused reports attempts that need no answer,
// such as one in flight when its dispatcher was killed; nil excuses none.
func Unanswered(calls []*Call, excused func(Attempt) bool, workers ...[]ObservedCall) (lost, wrong int) {
	came := map[string]bool{}
	for _, observed := range workers {
		for _, observation := range observed {
			came[observation.ID] = true
		}
	}
	for _, call := range calls {
		for _, attempt := range call.Attempts {
			if attempt.Wrong {
				wrong++
			}
			if (attempt.Lost || attempt.CrossedClose && (len(workers) == 0 || came[attempt.ID])) &&
				(excused == nil || !excused(attempt)) {
				lost++
			}
		}
	}
	return lost, wrong
}

// LateSends counts calls that arrived at a draining worker more than the allowance after their
// dispatcher was notified, by discovery or by the worker's own rejection. notified holds when
// discovery notified each dispatcher; a dispatcher that it did not notify is absent.
func LateSends(notified map[int]time.Time, observed []ObservedCall) (n int) {
	first := map[int]time.Time{}
	for d, t := range notified {
		first[d] = t
	}
	for _, observation := range observed {
		if !observation.Draining {
			continue
		}
		from := senderOf(observation.ID)
		t, known := first[from]
		if !known || observation.At.Before(t) {
			first[from] = observation.At
		} else if observation.At.Sub(t) > drainAllowance {
			n++
		}
	}
	return n
}

// senderOf returns the dispatcher that the id of a call names, or -1 if it names none.
func senderOf(id string) int {
	n := -1
	if len(id) >= 3 {
		if _, err := fmt.Sscanf(id[:3], "%x", &n); err != nil {
			return -1
		}
	}
	return n
}

// LoadQuotaExcess counts load orders of one dispatcher beyond its quota: in any window at most free
// orders plus share times the calls received in it, with a relative slack for those in
// transit. Both lists are sorted by time.
func LoadQuotaExcess(orders, calls []time.Time, window time.Duration, free, share, slack float64) (n int) {
	for i, t := range orders {
		from := t.Add(-window)
		at, _ := slices.BinarySearchFunc(orders, from, time.Time.Compare)
		first, _ := slices.BinarySearchFunc(calls, from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(calls, t.Add(time.Nanosecond), time.Time.Compare)
		if float64(i-at+1) > (free+share*float64(last-first))*(1+slack)+1 {
			n++
		}
	}
	return n
}

// WarmingLoad returns the highest load that a worker started at start was sent while it warmed up,
// relative to the permitted load: in any window of the configured length, N calls of mean work plus
// twice the root of N plus two for random variation, N being what the settings permit at the
// window's end. observed is sorted by time.
func WarmingLoad(figures *Figures, start time.Time, observed []ObservedCall) (most float64) {
	mean := 0.0
	for _, class := range figures.Classes {
		mean += class.Share * float64(class.Work)
	}
	model := NewWorkerModel(figures.Worker, start)
	from, sum := 0, 0.0
	weight := func(observation ObservedCall) float64 { return float64(figures.Classes[observation.Class].Work) / mean }
	for _, observation := range observed {
		sum += weight(observation)
		for ; observation.At.Sub(observed[from].At) > figures.Worker.CollapseWindow; from++ {
			sum -= weight(observed[from])
		}
		if observation.At.Sub(start) < figures.Worker.SlowStart {
			cores := model.Capacity(observation.At) * float64(figures.Worker.Cores)
			n := figures.Worker.OverloadFactor * cores * float64(figures.Worker.CollapseWindow) / mean
			most = max(most, sum/(n+2*math.Sqrt(n)+2))
		}
	}
	return most
}

// Oversize counts datagrams longer than a peer message may be.
func Oversize(datagrams []Datagram) (n int) {
	for _, datagram := range datagrams {
		if datagram.Bytes > peerBytes {
			n++
		}
	}
	return n
}

// BytesPerCall returns the bytes of the datagrams in a span, divided by calls, the number of calls
// in it.
func BytesPerCall(datagrams []Datagram, calls int, from, until time.Time) float64 {
	sum := 0
	for _, datagram := range datagrams {
		if datagram.At.After(from) && datagram.At.Before(until) {
			sum += datagram.Bytes
		}
	}
	return float64(sum) / float64(max(1, calls))
}

// ServedShare returns the share of calls intended in a span that were served.
func ServedShare(calls []*Call, from, until time.Time, pick func(*Call) bool) float64 {
	all, good := 0, 0
	for _, call := range calls {
		if call.Intended.Before(from) || !call.Intended.Before(until) || pick != nil && !pick(call) {
			continue
		}
		if all++; call.Served {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// ValueEarned returns the weighted value that calls intended in a span earned, of that offered.
func ValueEarned(figures *Figures, calls []*Call, from, until time.Time) float64 {
	asked, got := 0.0, 0.0
	for _, call := range calls {
		if !call.Intended.Before(from) && call.Intended.Before(until) {
			asked += figures.Classes[call.Class].PriorityWeight
			got += call.WeightedValue(figures)
		}
	}
	return got / max(asked, 1e-9)
}

// mostInOneSecond returns the largest number of times within any one second. times is sorted.
func mostInOneSecond(times []time.Time) (most int) {
	from := 0
	for i, t := range times {
		for t.Sub(times[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
