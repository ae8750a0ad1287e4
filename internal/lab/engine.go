package lab

import (
	"time"
)

// engine runs events in order of time, and those of the same time in the order in which they were
// scheduled. It has its own binary heap because container/heap would allocate for every event.
type engine struct {
	now   time.Time
	seq   int
	queue []event
}

// event is a function to be called at a given time.
type event struct {
	at  int64 // Unix time in nanoseconds
	seq int
	do  func()
}

func (e event) before(x event) bool { return e.at < x.at || e.at == x.at && e.seq < x.seq }

// at schedules a call of do at t.
func (e *engine) at(t time.Time, do func()) {
	e.seq++
	x := event{t.UnixNano(), e.seq, do}
	e.queue = append(e.queue, x)
	q, i := e.queue, len(e.queue)-1
	for up := (i - 1) / 2; i > 0 && x.before(q[up]); up = (i - 1) / 2 {
		q[i], i = q[up], up
	}
	q[i] = x
}

func (e *engine) after(d time.Duration, do func()) { e.at(e.now.Add(d), do) }

// pop removes and returns the next event; the queue must not be empty.
func (e *engine) pop() event {
	q, n := e.queue, len(e.queue)-1
	next, x := q[0], q[n]
	q[n] = event{}
	e.queue = q[:n]
	if q = e.queue; n == 0 {
		return next
	}
	i := 0
	for down := 1; down < n; down = 2*i + 1 {
		if down+1 < n && q[down+1].before(q[down]) {
			down++
		}
		if x.before(q[down]) {
			break
		}
		q[i], i = q[down], down
	}
	q[i] = x
	return next
}

// step runs the next event due up to until. If there is none, it sets the clock to until and
// returns false.
func (e *engine) step(until time.Time) bool {
	if len(e.queue) == 0 || e.queue[0].at > until.UnixNano() {
		e.now = until
		return false
	}
	x := e.pop()
	e.now = time.Unix(0, x.at)
	x.do()
	return true
}

func (e *engine) run(until time.Time) {
	for e.step(until) {
	}
}
