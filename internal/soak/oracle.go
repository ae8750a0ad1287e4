package soak

// The oracle: from the records of clients, executors and processes it finds the violations of the
// rules. It is pure.

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"oakthread/internal/lab"
)

// Rule names what a violation broke. docs/design/invariants.md has them with their sources.
type Rule string

// Rules that a run is checked for.
const (
	RuleAnswered  Rule = "answered"     // a request that was taken gets its final answer in time
	RuleOneAnswer Rule = "one answer"   // and only one
	RuleTrue      Rule = "true answer"  // served with what an executor made for it
	RuleOnce      Rule = "once"         // a call that must not run twice does not
	RuleRefusal   Rule = "refusal"      // a refused call had no effect
	RuleLeft      Rule = "client left"  // nothing begins over 0.1 s after the client left
	RuleBudget    Rule = "time told"    // an executor is given at most the time that the client has left
	RuleDrain     Rule = "drain"        // nothing is sent to what drains
	RuleRation    Rule = "load orders"  // orders to load are rationed by the calls taken
	RuleSlowStart Rule = "cold start"   // an executor in slow start does not collapse
	RuleProcess   Rule = "process"      // no process ends by itself, and each ends well
	RuleReady     Rule = "ready"        // ready within 10 s of a start
	RuleRecovers  Rule = "recovers"     // calls are served once the faults are over
	RuleDatagrams Rule = "datagram"     // 256 bytes at most
	RuleHarness   Rule = "inconclusive" // the laboratory itself stood still: nothing is said
)

// Violation is one breach.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Node   int    `json:"node"`
	ID     string `json:"id,omitempty"`
	Detail string `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: node %d %s: %s", v.Rule, v.Node, v.ID, v.Detail)
}

// Slack of the rules.
const (
	// a close that a request crossed comes by then; the page says 50 ms, and this machine is busy
	crossed        = 250 * time.Millisecond
	leftSlack      = 100*time.Millisecond + 80*time.Millisecond
	budgetSlack    = 150*time.Millisecond + 40*time.Millisecond
	newAtEnd       = 400 * time.Millisecond // for so long after SIGTERM new connections keep coming
	takenAtEnd     = 700 * time.Millisecond // after SIGTERM a request that comes later is owed nothing
	endSlack       = 900 * time.Millisecond // beyond the longest deadline and the 0.7 s
	readyIn        = 10 * time.Second
	minServedShare = 0.5  // of the calls that come in the calm end
	rationSlack    = 0.15 // the page's; it adds one order
	pauseTail      = 400 * time.Millisecond
	// the settings' grace, the page's slack and this machine's
	drainSlack = drainGrace + 50*time.Millisecond + 100*time.Millisecond
	// a change counts as told after this, whether its event arrived or not
	toldAfter = 7 * time.Second
	// the longest deadline counts for so much at most when SIGKILL comes
	maxKillDeadline = 3 * time.Second
	// a lost channel is found and opened again by then
	uninformedTail = 2500 * time.Millisecond
)

// Records are what a run left.
type Records struct {
	Requests   []*Request
	Arrivals   []*Arrival
	Lives      [][]Life // by node
	Paused     [][]span
	Disturbed  [][]span // by executor: its links were not open, or slow
	Drains     []Drain
	Orders     []LoadOrder
	Ration     Ration
	Uninformed [][]span // by node: discovery's link to it was not open
	Once       func(class int) bool
	Longest    time.Duration // that any client waits
	CalmFrom   time.Time     // the faults have been over for a while
	CalmTo     time.Time
}

// Ration is what the settings allow of orders to load.
type Ration struct {
	Window      time.Duration
	Free, Share float64
}

// Drain is a time in which an executor drained, from when discovery had announced it.
type Drain struct {
	Executor int
	span
}

// FindViolations finds the violations of a run.
func FindViolations(r Records) []Violation {
	j := oracle{Records: r, arrived: map[string][]*Arrival{}}
	for _, arrival := range r.Arrivals {
		j.arrived[arrival.ID] = append(j.arrived[arrival.ID], arrival)
	}
	for _, request := range r.Requests {
		j.answered(request)
		j.effects(request)
		j.arrivals(request)
	}
	j.processes()
	j.orderedAfterDrain()
	j.rationed()
	j.recovers()
	return j.found
}

// oracle collects the violations of a run; arrived holds the arrivals by request.
type oracle struct {
	Records
	arrived map[string][]*Arrival
	found   []Violation
}

func (j *oracle) broken(rule Rule, node int, id, format string, args ...any) {
	j.found = append(j.found, Violation{rule, node, id, fmt.Sprintf(format, args...)})
}

// answered looks whether a request got its one answer.
func (j *oracle) answered(request *Request) {
	if request.Second {
		j.broken(RuleOneAnswer, request.Node, request.ID, "bytes came behind the answer")
	}
	if request.Wrong {
		j.broken(RuleTrue, request.Node, request.ID, "served with another body")
	}
	switch request.End {
	case NotSent:
		// a pooled connection may have been closed, or its process may have died
		if request.Err != "" && !request.Reused && j.listening(request) {
			j.broken(RuleAnswered, request.Node, request.ID, "no connection: %s", request.Err)
		}
		return
	case Closed:
		if request.Reused && request.Ended.Sub(request.SentAt) < crossed && len(j.arrived[request.ID]) == 0 {
			return // it crossed the close of an idle connection, and was not taken
		}
	case Overdue, Cut:
	default:
		return
	}
	if j.owed(request) {
		j.broken(RuleAnswered, request.Node, request.ID, "%s after %v of %v, reused %v, arrivals %d (%s)", request.End,
			request.Ended.Sub(request.SentAt).Round(time.Millisecond),
			request.Timeout, request.Reused, len(j.arrived[request.ID]), request.Err)
	}
}

// listening reports whether a process was there that takes new connections: not killed, and
// signalled to end a moment ago at most.
func (j *oracle) listening(request *Request) bool {
	for _, life := range j.Lives[request.Node] {
		if life.Ready.IsZero() || request.Sent.Before(life.Ready) || !life.Killed.IsZero() &&
			life.Killed.Before(request.Ended) {
			continue
		}
		if life.Ending.IsZero() && (life.Ended.IsZero() || request.Ended.Before(life.Ended)) ||
			!life.Ending.IsZero() && request.Ended.Sub(life.Ending) < newAtEnd {
			return true
		}
	}
	return false
}

// owed reports whether an answer was owed: a process was there that took the request and was not
// killed. One that was stopped meanwhile may answer late, but may not close the connection either.
func (j *oracle) owed(request *Request) bool {
	for _, p := range j.Paused[request.Node] {
		p.until = p.until.Add(pauseTail)
		if request.End == Overdue && p.overlaps(request.Sent, request.Ended) {
			return false
		}
	}
	for _, life := range j.Lives[request.Node] {
		if request.SentAt.Before(life.Begun) || !life.Ended.IsZero() && life.Ended.Before(request.Sent) {
			continue
		}
		// On a connection that it keeps, a client may ask until the kill, and is owed an answer by then.
		late := !life.Ending.IsZero() && request.SentAt.Sub(life.Ending) > takenAtEnd
		if !life.Killed.IsZero() && life.Killed.Before(request.Ended) {
			return late && request.Reused && request.SentAt.Before(life.Killed)
		}
		return !late || request.Reused
	}
	return false
}

// effects looks at what a call did.
func (j *oracle) effects(request *Request) {
	if !j.Once(request.Class) {
		return
	}
	ran := 0
	for _, arrival := range j.arrived[request.ID] {
		if arrival.Ran {
			ran++
		}
	}
	if ran > 1 {
		j.broken(RuleOnce, request.Node, request.ID, "it ran %d times", ran)
	}
	if ran > 0 && request.End == Answered && refused(request.Status) {
		j.broken(RuleRefusal, request.Node, request.ID, "refused with %d, and it ran", request.Status)
	}
}

// arrivals checks when a call came to executors and what time it was given there.
func (j *oracle) arrivals(request *Request) {
	for _, arrival := range j.arrived[request.ID] {
		if request.End == Overdue {
			request.LeftAt = request.Ended // its client closed the connection then
		}
		if late := arrival.At.Sub(request.LeftAt); !request.LeftAt.IsZero() && late > leftSlack &&
			!j.disturbed(request.Node, arrival.Executor,
				request.LeftAt, arrival.At) {
			j.broken(RuleLeft, request.Node, request.ID, "came to executor %d %v after its client had left",
				arrival.Executor,
				late.Round(time.Millisecond))
		}
		j.drained(request, arrival)
		if request.SentAt.IsZero() || j.disturbed(request.Node, arrival.Executor, request.SentAt, arrival.At) {
			continue
		}
		left := request.Timeout - arrival.At.Sub(request.SentAt)
		if arrival.Budget > max(left, time.Millisecond)+budgetSlack {
			j.broken(RuleBudget, request.Node, request.ID, "executor %d was told %v where %v were left",
				arrival.Executor, arrival.Budget,
				left.Round(time.Millisecond))
		}
	}
}

// drained checks whether a call came to an executor long after its dispatcher was notified that it
// drains.
func (j *oracle) drained(request *Request, arrival *Arrival) {
	if late, is := j.afterDrain(request.Node, arrival.Executor, arrival.At); is {
		j.broken(RuleDrain, request.Node, request.ID, "came to executor %d %v after it was told that it drains",
			arrival.Executor, late.Round(time.Millisecond))
	}
}

// orderedAfterDrain checks the same of load orders.
func (j *oracle) orderedAfterDrain() {
	for _, order := range j.Orders {
		if order.Node < 0 {
			continue
		}
		if late, is := j.afterDrain(order.Node, order.Executor, order.At); is {
			j.broken(RuleDrain, order.Node, "", "load order to executor %d %v after it was told that it drains",
				order.Executor, late.Round(time.Millisecond))
		}
	}
}

// afterDrain reports whether a node may send an executor nothing new at a time, since it drains and that
// counts as told, and how long it has. Discovery tells at once, or 7 s later at the latest.
func (j *oracle) afterDrain(node, executor int, at time.Time) (late time.Duration, is bool) {
	for _, drain := range j.Drains {
		if drain.Executor != executor || !drain.overlaps(at, at) {
			continue
		}
		told := drain.from
		untold := slices.ContainsFunc(j.Uninformed[node], func(s span) bool {
			s.until = s.until.Add(uninformedTail)
			return s.overlaps(drain.from, at)
		})
		if untold {
			told = told.Add(toldAfter)
		}
		if at.Sub(told) >= drainSlack && !j.disturbed(node, executor, told, at) {
			return at.Sub(told), true
		}
	}
	return 0, false
}

// disturbed reports whether something between the process and the executor, or the process itself,
// was stopped meanwhile.
func (j *oracle) disturbed(node, executor int, from, until time.Time) bool {
	overlaps := func(s span) bool { return s.overlaps(from, until) }
	return slices.ContainsFunc(j.Paused[node], overlaps) || slices.ContainsFunc(j.Disturbed[executor], overlaps)
}

// rationed checks whether each process gave no more load orders than the calls that it took allow.
func (j *oracle) rationed() {
	for n, lives := range j.Lives {
		for i, l := range lives {
			life := span{from: l.Begun, until: l.Ended}
			if i+1 < len(lives) {
				life.until = lives[i+1].Begun
			}
			calls, orders := j.takenIn(n, life)
			over := lab.OverRation(orders, calls, j.Ration.Window, j.Ration.Free, j.Ration.Share, rationSlack)
			if over > 0 {
				j.broken(RuleRation, n, "", "%d of %d orders beyond the ration, %d calls", over, len(orders),
					len(calls))
			}
		}
	}
}

// takenIn returns, in order of time, when a node took calls and gave load orders in a span; a span
// without an end goes on.
func (j *oracle) takenIn(node int, life span) (calls, orders []time.Time) {
	within := func(at time.Time) bool {
		return !at.Before(life.from) && (life.until.IsZero() || at.Before(life.until))
	}
	for _, request := range j.Requests {
		if request.Node == node && !request.SentAt.IsZero() && within(request.SentAt) {
			calls = append(calls, request.SentAt)
		}
	}
	for _, o := range j.Orders {
		if o.Node == node && within(o.At) {
			orders = append(orders, o.At)
		}
	}
	slices.SortFunc(calls, time.Time.Compare)
	slices.SortFunc(orders, time.Time.Compare)
	return calls, orders
}

// processes looks at how processes ended and how soon they were ready.
func (j *oracle) processes() {
	for n, lives := range j.Lives {
		for _, life := range lives {
			switch {
			case life.Failure != "":
				j.broken(RuleProcess, n, "", "it ended badly: %s", life.Failure)
			case !life.Ended.IsZero() && life.Ending.IsZero() && life.Killed.IsZero():
				j.broken(RuleProcess, n, "", "it ended by itself")
			case !life.Ending.IsZero() && life.Killed.IsZero() &&
				life.Ended.Sub(life.Ending) > j.Longest+takenAtEnd+endSlack+j.pausedFor(n):
				j.broken(RuleProcess, n, "", "it took %v to end", life.Ended.Sub(life.Ending).Round(time.Millisecond))
			}
			if life.Ready.IsZero() && life.Killed.IsZero() || life.Ready.Sub(life.Begun) > readyIn {
				j.broken(RuleReady, n, "", "not ready within %v", readyIn)
			}
		}
	}
}

func (j *oracle) pausedFor(node int) (sum time.Duration) {
	for _, p := range j.Paused[node] {
		sum += p.until.Sub(p.from)
	}
	return sum
}

// recovers checks whether each node serves once the faults have been over for a while.
func (j *oracle) recovers() {
	asked, served := make([]int, len(j.Lives)), make([]int, len(j.Lives))
	for _, request := range j.Requests {
		if request.Sent.Before(j.CalmFrom) || !request.Sent.Before(j.CalmTo) || request.End == NotSent {
			continue
		}
		asked[request.Node]++
		if request.End == Answered && request.Status == http.StatusOK {
			served[request.Node]++
		}
	}
	for n := range asked {
		if asked[n] >= 4 && float64(served[n]) < minServedShare*float64(asked[n]) {
			j.broken(RuleRecovers, n, "", "%d of %d calls served once troubles were over", served[n], asked[n])
		}
	}
}
