package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	paceSpan = 10 * time.Second
)

// TakeSnapshot is the list as it is to be written.
func (l *List) TakeSnapshot(now time.Time) Snapshot {
	k := Snapshot{Epoch: l.epoch, Cursor: l.cursor, Confirmed: l.confirmed, Saved: now, History: l.history}
	k.History.Events = slices.Clone(l.history.Events)
	for _, e := range l.order {
		b := e.Endpoint
		b.RequestRate = max(e.pace(now), e.base)
		if l.live && now.Sub(l.gate.ended) > paceSpan {
			b.RequestRate = e.pace(now)
		}
		if e.proof == Draining {
			b.State = balancer.Draining
		}
		k.Endpoints = append(k.Endpoints, b)
	}
	return k
}

func (e *entry) pace(now time.Time) float64 {
	if e.ansAt.IsZero() {
		return 0
	}
	seen := max(1-decay(now.Sub(e.since), paceSpan), 0.05) // less than the span has been seen of a young one
	return e.answers * decay(now.Sub(e.ansAt), paceSpan) / (paceSpan.Seconds() * seen)
}

// Row is one line of a report on the list.
type Row struct {
	Endpoint
	Trust float64
	Proof Verification
	Age   time.Duration // of the last evidence; below 0: unknown
}

// Rows reports on all boxes, by id.
func (l *List) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(l.order))
	for _, e := range l.order {
		r := Row{Endpoint: e.Endpoint, Trust: l.trust(now, e), Proof: e.proof, Age: -1}
		if !e.unknown && !e.at.IsZero() {
			r.Age = now.Sub(e.at)
		}
		rows = append(rows, r)
	}
	return rows
}
