package soak

// The oracle: it finds violations of the rules in the records of clients, executors and processes.
// It performs no I/O; in the records it sets only LeftAt of overdue requests.

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"oakthread/internal/lab"
)

// Rule names a rule of the platform. docs/design/invariants.md lists the rules with their sources.
type Rule string

// Rules that each run is checked for.
const (
	RuleAnswered      Rule = "answered"     // an accepted request gets its final answer in time
	RuleOneAnswer     Rule = "one answer"   // a request gets only one answer
	RuleCorrectAnswer Rule = "true answer"  // the body of status 200 was produced by an executor for this request
	RuleAtMostOnce    Rule = "once"         // a call that is not idempotent runs at most once
	RuleRefusal       Rule = "refusal"      // a refused call had no effect
	RuleLeft          Rule = "client left"  // no attempt starts more than 0.1 s after the client left
	RuleBudget        Rule = "time told"    // an executor is told at most the remaining time of the client
	RuleDrain         Rule = "drain"        // nothing is sent to a draining executor
	RuleLoadQuota     Rule = "load orders"  // load orders are limited by the number of calls
	RuleSlowStart     Rule = "cold start"   // an executor in slow start does not collapse
	RuleProcess       Rule = "process"      // no process exits by itself, or with an error
	RuleReady         Rule = "ready"        // a process is ready within 10 s of its start
	RuleRecovers      Rule = "recovers"     // calls are served once the faults are over
	RuleDatagrams     Rule = "datagram"     // a datagram has at most 256 bytes
	RuleInconclusive  Rule = "inconclusive" // the testbed process itself stalled: the run shows nothing
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Node   int    `json:"node"`
	ID     string `json:"id,omitempty"`
	Detail string `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: node %d %s: %s", v.Rule, v.Node, v.ID, v.Detail)
}

// Tolerances of the rules.
const (
	// a close of an idle connection that races with a request is seen by then; the rules say 50 ms,
	// the rest is for a busy machine
	closeRaceWindow = 250 * time.Millisecond
	leftSlack       = 100*time.Millisecond + 80*time.Millisecond
	budgetSlack     = 150*time.Millisecond + 40*time.Millisecond
	acceptAfterTerm = 400 * time.Millisecond // new connections are accepted for this long after SIGTERM
	drainLinger     = 700 * time.Millisecond // after SIGTERM; later requests on new connections are owed no answer
	exitSlack       = 900 * time.Millisecond // beyond the longest deadline and drainLinger
	readyIn         = 10 * time.Second
	minServedShare  = 0.5  // of the calls sent in the calm phase, from CalmFrom to CalmTo
	loadQuotaSlack  = 0.15 // as in the rules; lab.LoadQuotaExcess also allows one more order
	pauseTail       = 400 * time.Millisecond
	// the grace of the settings, the tolerance of the rules, and that for a busy machine
	drainSlack = drainGrace + 50*time.Millisecond + 100*time.Millisecond
	// a node must respect a drain after this time, whether or not it has received the event
	drainNoticeTimeout = 7 * time.Second
	// upper limit of the longest deadline when the time of SIGKILL is computed
	maxKillDeadline = 3 * time.Second
	// a lost command channel is detected and opened again by then
	reconnectTail = 2500 * time.Millisecond
)

// Records holds what was recorded in a run.
type Records struct {
	Requests     []*Request
	Arrivals     []*Arrival
	Incarnations [][]Incarnation // by node
	Paused       [][]span
	Disturbed    [][]span // by executor: its links were frozen, cut, reset or slow
	Drains       []Drain
	Orders       []LoadOrder
	LoadQuota    LoadQuota
	// LateDuplicates are the bodies of duplicate answers that executors wrote so late that a dispatcher
	// cannot distinguish them from the answer to the next request.
	LateDuplicates []string
	Uninformed     [][]span // by node: its discovery link was frozen, reset or slow, or events were withheld
	AtMostOnce     func(class int) bool
	Longest        time.Duration // longest client timeout of any class
	CalmFrom       time.Time     // recoveryTime after the end of the faults
	CalmTo         time.Time
}

// LoadQuota is the limit of load orders in the settings: Free and Share of the calls, per Window.
type LoadQuota struct {
	Window      time.Duration
	Free, Share float64
}

// Drain is the time in which an executor drains, from its announcement by discovery on.
type Drain struct {
	Executor int
	span
}

// FindViolations returns the violations that the records of a run show.
func FindViolations(r Records) []Violation {
	o := oracle{Records: r, arrivalsByID: map[string][]*Arrival{}}
	for _, arrival := range r.Arrivals {
		o.arrivalsByID[arrival.ID] = append(o.arrivalsByID[arrival.ID], arrival)
	}
	for _, request := range r.Requests {
		o.checkAnswer(request)
		o.checkExecutions(request)
		o.checkArrivals(request)
	}
	o.checkProcesses()
	o.checkLoadOrdersAfterDrain()
	o.checkLoadQuota()
	o.checkRecovery()
	return o.found
}

// oracle collects the violations of a run.
type oracle struct {
	Records
	arrivalsByID map[string][]*Arrival
	found        []Violation
}

func (o *oracle) addViolation(rule Rule, node int, id, format string, args ...any) {
	o.found = append(o.found, Violation{rule, node, id, fmt.Sprintf(format, args...)})
}

// checkAnswer checks that a request got an answer if one was owed, at most one, and one with the
// right body.
func (o *oracle) checkAnswer(request *Request) {
	if request.SecondAnswer {
		o.addViolation(RuleOneAnswer, request.Node, request.ID, "bytes came behind the answer")
	}
	if request.WrongBody && !slices.Contains(o.LateDuplicates, request.Body) {
		o.addViolation(RuleCorrectAnswer, request.Node, request.ID, "served with another body")
	}
	switch request.End {
	case NotSent:
		// a pooled connection may have been closed, or its process may have exited
		if request.Err != "" && !request.Reused && o.listening(request) {
			o.addViolation(RuleAnswered, request.Node, request.ID, "no connection: %s", request.Err)
		}
		return
	case Closed:
		if request.Reused && request.Ended.Sub(request.SendEnd) < closeRaceWindow &&
			len(o.arrivalsByID[request.ID]) == 0 {
			return // it raced with the close of an idle connection, and was not accepted
		}
	case Overdue, Truncated:
	default:
		return
	}
	if o.isAnswerOwed(request) {
		o.addViolation(RuleAnswered, request.Node, request.ID, "%s after %v of %v, reused %v, arrivals %d (%s)",
			request.End, request.Ended.Sub(request.SendEnd).Round(time.Millisecond),
			request.Timeout, request.Reused, len(o.arrivalsByID[request.ID]), request.Err)
	}
}

// listening reports whether the node had a process that had to accept the request's new connection:
// ready, not killed, and sent SIGTERM less than acceptAfterTerm ago, if at all.
func (o *oracle) listening(request *Request) bool {
	for _, proc := range o.Incarnations[request.Node] {
		if proc.Ready.IsZero() || request.SendStart.Before(proc.Ready) || !proc.Killed.IsZero() &&
			proc.Killed.Before(request.Ended) {
			continue
		}
		if proc.TermSent.IsZero() && (proc.Ended.IsZero() || request.Ended.Before(proc.Ended)) ||
			!proc.TermSent.IsZero() && request.Ended.Sub(proc.TermSent) < acceptAfterTerm {
			return true
		}
	}
	return false
}

// isAnswerOwed reports whether a process had to answer the request. No answer is owed to a request
// that was sent long after SIGTERM on a new connection. A killed process owes no answer, except to
// late requests on kept connections. A process that was stopped meanwhile may answer late, but must
// not close the connection either.
func (o *oracle) isAnswerOwed(request *Request) bool {
	for _, p := range o.Paused[request.Node] {
		p.until = p.until.Add(pauseTail)
		if request.End == Overdue && p.overlaps(request.SendStart, request.Ended) {
			return false
		}
	}
	for _, proc := range o.Incarnations[request.Node] {
		if request.SendEnd.Before(proc.Started) || !proc.Ended.IsZero() && proc.Ended.Before(request.SendStart) {
			continue
		}
		// On a kept connection, a client may send requests until SIGKILL, and is owed an answer
		// before it.
		late := !proc.TermSent.IsZero() && request.SendEnd.Sub(proc.TermSent) > drainLinger
		if !proc.Killed.IsZero() && proc.Killed.Before(request.Ended) {
			return late && request.Reused && request.SendEnd.Before(proc.Killed)
		}
		return !late || request.Reused
	}
	return false
}

// checkExecutions checks that a non-idempotent call ran at most once, and not at all if it was
// refused.
func (o *oracle) checkExecutions(request *Request) {
	if !o.AtMostOnce(request.Class) {
		return
	}
	ran := 0
	for _, arrival := range o.arrivalsByID[request.ID] {
		if arrival.Ran {
			ran++
		}
	}
	if ran > 1 {
		o.addViolation(RuleAtMostOnce, request.Node, request.ID, "it ran %d times", ran)
	}
	if ran > 0 && request.End == Answered && refused(request.Status) {
		o.addViolation(RuleRefusal, request.Node, request.ID, "refused with %d, and it ran", request.Status)
	}
}

// checkArrivals checks when a call reached executors and the budget that they were told.
func (o *oracle) checkArrivals(request *Request) {
	for _, arrival := range o.arrivalsByID[request.ID] {
		if request.End == Overdue {
			request.LeftAt = request.Ended // its client closed the connection then
		}
		if late := arrival.At.Sub(request.LeftAt); !request.LeftAt.IsZero() && late > leftSlack &&
			!o.disturbed(request.Node, arrival.Executor,
				request.LeftAt, arrival.At) {
			o.addViolation(RuleLeft, request.Node, request.ID, "came to executor %d %v after its client had left",
				arrival.Executor,
				late.Round(time.Millisecond))
		}
		o.checkCallAfterDrain(request, arrival)
		if request.SendEnd.IsZero() || o.disturbed(request.Node, arrival.Executor, request.SendEnd, arrival.At) {
			continue
		}
		left := request.Timeout - arrival.At.Sub(request.SendEnd)
		if arrival.Budget > max(left, time.Millisecond)+budgetSlack {
			o.addViolation(RuleBudget, request.Node, request.ID, "executor %d was told %v where %v were left",
				arrival.Executor, arrival.Budget,
				left.Round(time.Millisecond))
		}
	}
}

// checkCallAfterDrain checks that a call did not reach a draining executor long after the
// dispatcher was notified of the drain.
func (o *oracle) checkCallAfterDrain(request *Request, arrival *Arrival) {
	if late, violated := o.afterDrain(request.Node, arrival.Executor, arrival.At); violated {
		o.addViolation(RuleDrain, request.Node, request.ID, "came to executor %d %v after it was told that it drains",
			arrival.Executor, late.Round(time.Millisecond))
	}
}

// checkLoadOrdersAfterDrain checks the same for load orders.
func (o *oracle) checkLoadOrdersAfterDrain() {
	for _, order := range o.Orders {
		if order.Node < 0 {
			continue
		}
		if late, violated := o.afterDrain(order.Node, order.Executor, order.At); violated {
			o.addViolation(RuleDrain, order.Node, "", "load order to executor %d %v after it was told that it drains",
				order.Executor, late.Round(time.Millisecond))
		}
	}
}

// afterDrain reports whether a request or load order that reached an executor at a time came too
// late after the node had to know of the executor's drain, and how late. A node has to know at
// once, or after drainNoticeTimeout if it was cut off from discovery.
func (o *oracle) afterDrain(node, executor int, at time.Time) (late time.Duration, violated bool) {
	for _, drain := range o.Drains {
		if drain.Executor != executor || !drain.overlaps(at, at) {
			continue
		}
		notified := drain.from
		uninformed := slices.ContainsFunc(o.Uninformed[node], func(s span) bool {
			s.until = s.until.Add(reconnectTail)
			return s.overlaps(drain.from, at)
		})
		if uninformed {
			notified = notified.Add(drainNoticeTimeout)
		}
		if at.Sub(notified) >= drainSlack && !o.disturbed(node, executor, notified, at) {
			return at.Sub(notified), true
		}
	}
	return 0, false
}

// disturbed reports whether the node's process was stopped, or the executor's links were disturbed,
// during the given time.
func (o *oracle) disturbed(node, executor int, from, until time.Time) bool {
	overlaps := func(s span) bool { return s.overlaps(from, until) }
	return slices.ContainsFunc(o.Paused[node], overlaps) || slices.ContainsFunc(o.Disturbed[executor], overlaps)
}

// checkLoadQuota checks that each process sent no more load orders than its calls allow.
func (o *oracle) checkLoadQuota() {
	for n, procs := range o.Incarnations {
		for i, proc := range procs {
			period := span{from: proc.Started, until: proc.Ended}
			if i+1 < len(procs) {
				period.until = procs[i+1].Started
			}
			calls, orders := o.callsAndOrders(n, period)
			over := lab.LoadQuotaExcess(orders, calls, o.LoadQuota.Window, o.LoadQuota.Free, o.LoadQuota.Share,
				loadQuotaSlack)
			if over > 0 {
				o.addViolation(RuleLoadQuota, n, "", "%d of %d orders beyond the ration, %d calls", over, len(orders),
					len(calls))
			}
		}
	}
}

// callsAndOrders returns the times, in ascending order, of the calls to a node and of the load
// orders from it in a period, which has no end if its until is zero.
func (o *oracle) callsAndOrders(node int, period span) (calls, orders []time.Time) {
	within := func(at time.Time) bool {
		return !at.Before(period.from) && (period.until.IsZero() || at.Before(period.until))
	}
	for _, request := range o.Requests {
		if request.Node == node && !request.SendEnd.IsZero() && within(request.SendEnd) {
			calls = append(calls, request.SendEnd)
		}
	}
	for _, order := range o.Orders {
		if order.Node == node && within(order.At) {
			orders = append(orders, order.At)
		}
	}
	slices.SortFunc(calls, time.Time.Compare)
	slices.SortFunc(orders, time.Time.Compare)
	return calls, orders
}

// checkProcesses checks how processes exited and how soon they were ready.
func (o *oracle) checkProcesses() {
	for n, procs := range o.Incarnations {
		for _, proc := range procs {
			switch {
			case proc.Failure != "":
				o.addViolation(RuleProcess, n, "", "it ended badly: %s", proc.Failure)
			case !proc.Ended.IsZero() && proc.TermSent.IsZero() && proc.Killed.IsZero():
				o.addViolation(RuleProcess, n, "", "it ended by itself")
			case !proc.TermSent.IsZero() && proc.Killed.IsZero() &&
				proc.Ended.Sub(proc.TermSent) > o.Longest+drainLinger+exitSlack+o.pausedFor(n):
				o.addViolation(RuleProcess, n, "", "it took %v to end",
					proc.Ended.Sub(proc.TermSent).Round(time.Millisecond))
			}
			if proc.Ready.IsZero() && proc.Killed.IsZero() || proc.Ready.Sub(proc.Started) > readyIn {
				o.addViolation(RuleReady, n, "", "not ready within %v", readyIn)
			}
		}
	}
}

func (o *oracle) pausedFor(node int) (sum time.Duration) {
	for _, p := range o.Paused[node] {
		sum += p.until.Sub(p.from)
	}
	return sum
}

// checkRecovery checks that each node serves calls in the calm phase.
func (o *oracle) checkRecovery() {
	asked, served := make([]int, len(o.Incarnations)), make([]int, len(o.Incarnations))
	for _, request := range o.Requests {
		if request.SendStart.Before(o.CalmFrom) || !request.SendStart.Before(o.CalmTo) || request.End == NotSent {
			continue
		}
		asked[request.Node]++
		if request.End == Answered && request.Status == http.StatusOK {
			served[request.Node]++
		}
	}
	for n := range asked {
		if asked[n] >= 4 && float64(served[n]) < minServedShare*float64(asked[n]) {
			o.addViolation(RuleRecovers, n, "", "%d of %d calls served once troubles were over", served[n], asked[n])
		}
	}
}
