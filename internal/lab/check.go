package lab

// The checkers: each finds breaches of one rule in what workers, clients and relays observed. What
// a dispatcher reports of itself is not used.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	drainAllowance = time.Second + 50*time.Millisecond
	callKey        = 13 // characters of an id that all attempts of a call share
)

// RunTwice counts non-idempotent calls that workers admitted more than once, by whichever attempt.
func RunTwice(f *Figures, workers ...[]ObservedCall) (n int) {
	took := map[string]int{}
	for _, observed := range workers {
		for _, s := range observed {
			if s.Took && f.Classes[s.Class].NotIdempotent && len(s.ID) >= callKey {
				if took[s.ID[:callKey]]++; took[s.ID[:callKey]] == 2 {
					n++
				}
			}
		}
	}
	return n
}

// Unanswered counts attempts that were admitted and got no complete answer, and answers that no
// worker made. An attempt that crossed the close of its connection counts unless all workers are
// given and none of them saw it. excused reports attempts that are owed nothing, such as one that
// crossed the death of its dispatcher; nil excuses none.
func Unanswered(calls []*Call, excused func(Attempt) bool, workers ...[]ObservedCall) (lost, wrong int) {
	came := map[string]bool{}
	for _, observed := range workers {
		for _, s := range observed {
			came[s.ID] = true
		}
	}
	for _, c := range calls {
		for _, t := range c.Attempts {
			if t.Wrong {
				wrong++
			}
			if (t.Lost || t.Crossed && (len(workers) == 0 || came[t.ID])) && (excused == nil || !excused(t)) {
				lost++
			}
		}
	}
	return lost, wrong
}

// LateSends counts calls that came to a draining worker more than the allowance after their
// dispatcher was notified, by discovery or by the worker's own rejection. notified holds when
// discovery notified each dispatcher; a dispatcher that it did not notify is absent.
func LateSends(notified map[int]time.Time, observed []ObservedCall) (n int) {
	first := map[int]time.Time{}
	for d, t := range notified {
		first[d] = t
	}
	for _, s := range observed {
		if !s.Draining {
			continue
		}
		from := senderOf(s.ID)
		t, known := first[from]
		if !known || s.At.Before(t) {
			first[from] = s.At
		} else if s.At.Sub(t) > drainAllowance {
			n++
		}
	}
	return n
}

// senderOf is the dispatcher that a call's id names; -1: none.
func senderOf(id string) int {
	n := -1
	if len(id) >= 3 {
		if _, err := fmt.Sscanf(id[:3], "%x", &n); err != nil {
			return -1
		}
	}
	return n
}

// OverRation counts load orders of one dispatcher beyond its quota: in any window at most free
// orders and the share of the calls taken in it, with slack for what is in transit. Both lists are
// in order of time.
func OverRation(orders, calls []time.Time, window time.Duration, free, share, slack float64) (n int) {
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
// as a part of the permitted load: in any window of the configured length, N calls of mean work
// plus twice the root of N plus two for chance, N being what the settings permit at the window's
// end. observed is in order of time.
func WarmingLoad(f *Figures, start time.Time, observed []ObservedCall) (most float64) {
	mean := 0.0
	for _, c := range f.Classes {
		mean += c.Share * float64(c.Work)
	}
	b := NewWorkerModel(f.Worker, start)
	from, sum := 0, 0.0
	weight := func(s ObservedCall) float64 { return float64(f.Classes[s.Class].Work) / mean }
	for _, s := range observed {
		sum += weight(s)
		for ; s.At.Sub(observed[from].At) > f.Worker.Fall; from++ {
			sum -= weight(observed[from])
		}
		if s.At.Sub(start) < f.Worker.Warm {
			n := f.Worker.Factor * b.Capacity(s.At) * float64(f.Worker.Cores) * float64(f.Worker.Fall) / mean
			most = max(most, sum/(n+2*math.Sqrt(n)+2))
		}
	}
	return most
}

// Oversize counts datagrams over the wire's limit.
func Oversize(datagrams []Datagram) (n int) {
	for _, d := range datagrams {
		if d.Bytes > peerBytes {
			n++
		}
	}
	return n
}

// BytesACall is what the messages of a span cost, for each call taken in it.
func BytesACall(datagrams []Datagram, calls int, from, until time.Time) float64 {
	sum := 0
	for _, d := range datagrams {
		if d.At.After(from) && d.At.Before(until) {
			sum += d.Bytes
		}
	}
	return float64(sum) / float64(max(1, calls))
}

// Served returns the share of calls intended in a span that were served.
func Served(calls []*Call, from, until time.Time, pick func(*Call) bool) float64 {
	all, good := 0, 0
	for _, c := range calls {
		if c.Intended.Before(from) || !c.Intended.Before(until) || pick != nil && !pick(c) {
			continue
		}
		if all++; c.Served {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// Earned returns the weighted value that calls intended in a span earned, of that offered.
func Earned(f *Figures, calls []*Call, from, until time.Time) float64 {
	asked, got := 0.0, 0.0
	for _, c := range calls {
		if !c.Intended.Before(from) && c.Intended.Before(until) {
			asked += f.Classes[c.Class].PriorityWeight
			got += c.WeightedValue(f)
		}
	}
	return got / max(asked, 1e-9)
}

// mostInOneSecond returns the most times that lie within any second; the times are in order.
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
