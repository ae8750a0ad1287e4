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
	for _, a := range r.Arrivals {
		j.arrived[a.ID] = append(j.arrived[a.ID], a)
	}
	for _, q := range r.Requests {
		j.answered(q)
		j.effects(q)
		j.arrivals(q)
	}
	j.processes()
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
func (j *oracle) answered(q *Request) {
	if q.Second {
		j.broken(RuleOneAnswer, q.Node, q.ID, "bytes came behind the answer")
	}
	if q.Wrong {
		j.broken(RuleTrue, q.Node, q.ID, "served with another body")
	}
	switch q.End {
	case NotSent:
		// a pooled connection may have been closed, or its process may have died
		if q.Err != "" && !q.Reused && j.listening(q) {
			j.broken(RuleAnswered, q.Node, q.ID, "no connection: %s", q.Err)
		}
		return
	case Closed:
		if q.Reused && q.Ended.Sub(q.SentAt) < crossed && len(j.arrived[q.ID]) == 0 {
			return // it crossed the close of an idle connection, and was not taken
		}
	case Overdue, Cut:
	default:
		return
	}
	if j.owed(q) {
		j.broken(RuleAnswered, q.Node, q.ID, "%s after %v of %v, reused %v, arrivals %d (%s)", q.End,
			q.Ended.Sub(q.SentAt).Round(time.Millisecond),
			q.Timeout, q.Reused, len(j.arrived[q.ID]), q.Err)
	}
}

// listening reports whether a process was there that takes new connections: not killed, and
// signalled to end a moment ago at most.
func (j *oracle) listening(q *Request) bool {
	for _, l := range j.Lives[q.Node] {
		if l.Ready.IsZero() || q.Sent.Before(l.Ready) || !l.Killed.IsZero() && l.Killed.Before(q.Ended) {
			continue
		}
		if l.Ending.IsZero() && (l.Ended.IsZero() ||
			q.Ended.Before(l.Ended)) || !l.Ending.IsZero() && q.Ended.Sub(l.Ending) < newAtEnd {
			return true
		}
	}
	return false
}

// owed reports whether an answer was owed: a process was there that took the request and was not
// killed. One that was stopped meanwhile may answer late, but may not close the connection either.
func (j *oracle) owed(q *Request) bool {
	for _, p := range j.Paused[q.Node] {
		p.until = p.until.Add(pauseTail)
		if q.End == Overdue && p.overlaps(q.Sent, q.Ended) {
			return false
		}
	}
	for _, l := range j.Lives[q.Node] {
		if q.SentAt.Before(l.Begun) || !l.Ended.IsZero() && l.Ended.Before(q.Sent) {
			continue
		}
		if !l.Killed.IsZero() && l.Killed.Before(q.Ended) {
			return false
		}
		if !l.Ending.IsZero() && q.SentAt.Sub(l.Ending) > takenAtEnd {
			return false
		}
		return true
	}
	return false
}

// effects looks at what a call did.
func (j *oracle) effects(q *Request) {
	if !j.Once(q.Class) {
		return
	}
	ran := 0
	for _, a := range j.arrived[q.ID] {
		if a.Ran {
			ran++
		}
	}
	if ran > 1 {
		j.broken(RuleOnce, q.Node, q.ID, "it ran %d times", ran)
	}
	if ran > 0 && q.End == Answered && refused(q.Status) {
		j.broken(RuleRefusal, q.Node, q.ID, "refused with %d, and it ran", q.Status)
	}
}

// arrivals checks when a call came to executors and what time it was given there.
func (j *oracle) arrivals(q *Request) {
	for _, a := range j.arrived[q.ID] {
		if q.End == Overdue {
			q.LeftAt = q.Ended // its client closed the connection then
		}
		if late := a.At.Sub(q.LeftAt); !q.LeftAt.IsZero() && late > leftSlack && !j.disturbed(q.Node, a.Executor,
			q.LeftAt, a.At) {
			j.broken(RuleLeft, q.Node, q.ID, "came to executor %d %v after its client had left", a.Executor,
				late.Round(time.Millisecond))
		}
		j.drained(q, a)
		if q.SentAt.IsZero() || j.disturbed(q.Node, a.Executor, q.SentAt, a.At) {
			continue
		}
		left := q.Timeout - a.At.Sub(q.SentAt)
		if a.Budget > max(left, time.Millisecond)+budgetSlack {
			j.broken(RuleBudget, q.Node, q.ID, "executor %d was told %v where %v were left", a.Executor, a.Budget,
				left.Round(time.Millisecond))
		}
	}
}

// drained checks whether an arrival came to an executor long after its dispatcher was notified that
// it drains.
func (j *oracle) drained(q *Request, a *Arrival) {
	for _, d := range j.Drains {
		if d.Executor != a.Executor || !d.overlaps(a.At, a.At) || a.At.Sub(d.from) < drainSlack {
			continue
		}
		untold := slices.ContainsFunc(j.Uninformed[q.Node], func(s span) bool {
			s.until = s.until.Add(uninformedTail)
			return s.overlaps(d.from, a.At)
		})
		if !untold && !j.disturbed(q.Node, a.Executor, d.from, a.At) {
			j.broken(RuleDrain, q.Node, q.ID, "came to executor %d %v after discovery told that it drains",
				a.Executor, a.At.Sub(d.from).Round(time.Millisecond))
		}
	}
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
	for _, q := range j.Requests {
		if q.Node == node && !q.SentAt.IsZero() && within(q.SentAt) {
			calls = append(calls, q.SentAt)
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
		for _, l := range lives {
			switch {
			case l.Failure != "":
				j.broken(RuleProcess, n, "", "it ended badly: %s", l.Failure)
			case !l.Ended.IsZero() && l.Ending.IsZero() && l.Killed.IsZero():
				j.broken(RuleProcess, n, "", "it ended by itself")
			case !l.Ending.IsZero() && l.Killed.IsZero() &&
				l.Ended.Sub(l.Ending) > j.Longest+takenAtEnd+endSlack+j.pausedFor(n):
				j.broken(RuleProcess, n, "", "it took %v to end", l.Ended.Sub(l.Ending).Round(time.Millisecond))
			}
			if l.Ready.IsZero() && l.Killed.IsZero() || l.Ready.Sub(l.Begun) > readyIn {
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
	for _, q := range j.Requests {
		if q.Sent.Before(j.CalmFrom) || !q.Sent.Before(j.CalmTo) || q.End == NotSent {
			continue
		}
		asked[q.Node]++
		if q.End == Answered && q.Status == http.StatusOK {
			served[q.Node]++
		}
	}
	for n := range asked {
		if asked[n] >= 4 && float64(served[n]) < minServedShare*float64(asked[n]) {
			j.broken(RuleRecovers, n, "", "%d of %d calls served once troubles were over", served[n], asked[n])
		}
	}
}
