package balancer

import (
	"fmt"
	"testing"
)

// TestOverloadRejectsLowestPriorityFirst checks that while a queue forms, requests of the class
// with the lower priority are rejected first.
func TestOverloadRejectsLowestPriorityFirst(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].PriorityWeight = 5
	balancer, host := newTestBalancer(t, settings, 4)
	markAllResponded(balancer)
	now := int64(5000 * ms)
	for i := range 60 { // the function is loaded and nothing is answered: a queue forms
		request := Request{ID: fmt.Sprint(i), Class: i % 2, Func: 1, Deadline: now + 3000*ms, Concurrency: 16}
		balancer.HandleRequest(now, request)
		holder := balancer.holders.functions[1].holderAt(balancer.endpoints.listed[i%4], true)
		holder.validUntil = now + 8000*ms
	}
	low, high := 0, 0
	for i := range 60 {
		if host.answers[fmt.Sprint(i)] == "rejected" {
			if i%2 == 0 {
				low++
			} else {
				high++
			}
		}
	}
	if low == 0 || high > low {
		t.Fatalf("rejected %d requests of low priority and %d of high", low, high)
	}
}

// TestStuckCallsDoNotCountAsQueued checks that calls in flight for seconds are treated as stuck and
// do not count as queued.
func TestStuckCallsDoNotCountAsQueued(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(balancer)
	now := int64(1000 * ms)
	for i := range 8 {
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, 1))
		inFlight := balancer.endpoints.byID[host.lastWorker[id]].inFlight
		inFlight[len(inFlight)-1].expectedWarm = true
	}
	queued := balancer.expectedResponseTime(now + ms)
	for _, worker := range balancer.endpoints.listed { // every worker answers other calls meanwhile
		worker.lastResponseAt = now + 2500*ms
	}
	if stuck := balancer.expectedResponseTime(now + 2600*ms); stuck > queued/2 {
		t.Fatalf("expected response time %.0f ms with stuck calls, %.0f ms with queued ones", stuck/1e6, queued/1e6)
	}
}

// TestRejectedCallsCountAsQueued checks that calls recently rejected by a full queue count as
// queued.
func TestRejectedCallsCountAsQueued(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(NotIdempotent, ScopeNone), 4)
	markAllResponded(balancer)
	before := balancer.expectedResponseTime(0)
	for i := range 8 {
		id := fmt.Sprint(i)
		balancer.HandleRequest(0, testRequest(id, 0, FuncID(i)))
		balancer.HandleAttemptResult(ms, AttemptResult{ID: id, Worker: host.lastWorker[id], Result: QueueFull})
	}
	if after := balancer.expectedResponseTime(2 * ms); after < 1.5*before {
		t.Fatalf("expected response time %.0f ms after rejections, %.0f ms before", after/1e6, before/1e6)
	}
}

// TestRetriesDoNotCrowdOutFirstAttempts checks that while calls queue, requests marked as retries
// are rejected before others.
func TestRetriesDoNotCrowdOutFirstAttempts(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(balancer)
	now := int64(5000 * ms)
	for i := range 90 { // the function is loaded and nothing is answered: a queue forms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, Request{ID: id, Func: 1, Deadline: now + 3000*ms, Concurrency: 16, Retry: i%3 > 0})
		balancer.holders.functionFor(now, testRequest(id, now, 1)).holderAt(balancer.endpoints.listed[i%4],
			true).validUntil = now + 8000*ms
	}
	first, retries := 0, 0
	for i := range 90 {
		if host.answers[fmt.Sprint(i)] == "rejected" {
			if i%3 > 0 {
				retries++
			} else {
				first++
			}
		}
	}
	if retries == 0 || 2*first >= retries {
		t.Fatalf("rejected %d of 30 first attempts and %d of 60 retries", first, retries)
	}
}

// TestLoadedFunctionsAreAdmittedFirst checks that near the limit of pending requests, those that
// need a load are rejected first, and the others only shortly below the limit.
func TestLoadedFunctionsAreAdmittedFirst(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.MaxInFlight = 100
	balancer, host := newTestBalancer(t, settings, 4)
	markAllResponded(balancer)
	now := 5000 * ms
	balancer.holders.functionFor(now, Request{Func: 1, Concurrency: 16})
	for _, worker := range balancer.endpoints.listed {
		balancer.holders.functions[1].holderAt(worker, true).validUntil = now + 8000*ms
	}
	// a high completion rate, so that there is no queue
	balancer.admission.completions.value, balancer.admission.completions.at = 1e6, now
	cold, warm := 0, 0
	for i := range 100 {
		function := FuncID(1)
		if i%2 == 1 {
			function = FuncID(100 + i)
		}
		id := fmt.Sprint(i)
		if balancer.HandleRequest(now, testRequest(id, now, function)); host.answers[id] == "rejected" {
			if function == 1 {
				warm++
			} else {
				cold++
			}
		}
	}
	if cold == 0 || warm > cold/2 || len(balancer.requests) > 90 {
		t.Fatalf("rejected %d requests that need a load and %d others, %d pending", cold, warm, len(balancer.requests))
	}
}
