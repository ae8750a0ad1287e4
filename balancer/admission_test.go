package balancer

import (
	"fmt"
	"testing"
)

func TestOverloadRejectsTheLeastPriority(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].PriorityWeight = 5
	d, f := newTestBalancer(t, s, 4)
	markAllResponded(d)
	now := int64(5000 * ms)
	for i := range 60 { // all functions loaded, nothing answered: a queue forms
		d.HandleRequest(now, Request{ID: fmt.Sprint(i), Class: i % 2, Func: 1, Deadline: now + 3000*ms, Concurrency: 16})
		if h := d.holders.functions[1].holderAt(d.endpoints.listed[i%4], true); true {
			h.validUntil = now + 8000*ms
		}
	}
	low, high := 0, 0
	for i := range 60 {
		if f.answers[fmt.Sprint(i)] == "refused" {
			if i%2 == 0 {
				low++
			} else {
				high++
			}
		}
	}
	if low == 0 || high > low {
		t.Fatalf("refused %d of low worth and %d of high", low, high)
	}
}

// Found in iad616b: calls stuck for seconds were read as a queue, and half of the traffic was
// refused.
func TestStuckCallsDoNotCountAsQueued(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(d)
	now := int64(1000 * ms)
	for i := range 8 {
		id := fmt.Sprint(i)
		d.HandleRequest(now, testRequest(id, now, 1))
		d.endpoints.byID[f.lastWorker[id]].inFlight[len(d.endpoints.byID[f.lastWorker[id]].inFlight)-1].expectedWarm = true
	}
	queued := d.expectedQueueTime(now + ms)
	for _, w := range d.endpoints.listed { // every worker answers other calls meanwhile
		w.lastResponseAt = now + 2500*ms
	}
	if stuck := d.expectedQueueTime(now + 2600*ms); stuck > queued/2 {
		t.Fatalf("expected time %.0f ms with overdue calls, %.0f ms with queued ones", stuck/1e6, queued/1e6)
	}
}

// Found in i7067a9: calls turned away from full queues must count as queued.
func TestRejectedCallsCountAsQueued(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(NotIdempotent, ScopeNone), 4)
	markAllResponded(d)
	before := d.expectedQueueTime(0)
	for i := range 8 {
		id := fmt.Sprint(i)
		d.HandleRequest(0, testRequest(id, 0, FuncID(i)))
		d.HandleAttemptResult(ms, AttemptResult{ID: id, Worker: f.lastWorker[id], Result: QueueFull})
	}
	if after := d.expectedQueueTime(2 * ms); after < 1.5*before {
		t.Fatalf("expected time %.0f ms after full answers, %.0f ms before", after/1e6, before/1e6)
	}
}

// Found at full size: clients that repeat at once. When calls queue, marked repeats are refused
// before first tries.
func TestRetriesDoNotCrowdOutFirstAttempts(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(d)
	now := int64(5000 * ms)
	for i := range 90 { // all loaded, nothing answered: a queue forms
		id := fmt.Sprint(i)
		d.HandleRequest(now, Request{ID: id, Func: 1, Deadline: now + 3000*ms, Concurrency: 16, Retry: i%3 > 0})
		d.holders.functionFor(now, testRequest(id, now, 1)).holderAt(d.endpoints.listed[i%4], true).validUntil = now + 8000*ms
	}
	first, repeat := 0, 0
	for i := range 90 {
		if f.answers[fmt.Sprint(i)] == "refused" {
			if i%3 > 0 {
				repeat++
			} else {
				first++
			}
		}
	}
	if repeat == 0 || 2*first >= repeat {
		t.Fatalf("refused %d of 30 first tries and %d of 60 repeats", first, repeat)
	}
}

// Guards against loads that crowd out loaded copies: near the limit of open calls, what needs a
// load is turned away first, and the rest only when hardly any room is left.
func TestLoadedFunctionsAreAdmittedFirst(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.MaxInFlight = 100
	d, f := newTestBalancer(t, s, 4)
	markAllResponded(d)
	now := 5000 * ms
	d.holders.functionFor(now, Request{Func: 1, Concurrency: 16})
	for _, w := range d.endpoints.listed {
		d.holders.functions[1].holderAt(w, true).validUntil = now + 8000*ms
	}
	d.admission.completions.value, d.admission.completions.at = 1e6, now // answers flow, so there is no queue
	cold, warm := 0, 0
	for i := range 100 {
		fn := FuncID(1)
		if i%2 == 1 {
			fn = FuncID(100 + i)
		}
		id := fmt.Sprint(i)
		if d.HandleRequest(now, testRequest(id, now, fn)); f.answers[id] == "refused" {
			if fn == 1 {
				warm++
			} else {
				cold++
			}
		}
	}
	if cold == 0 || warm > cold/2 || len(d.requests) > 90 {
		t.Fatalf("refused %d that need a load and %d loaded, %d are open", cold, warm, len(d.requests))
	}
}
