package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	rateWindow = 10 * time.Second
)

// TakeSnapshot is the list as it is to be written.
func (l *List) TakeSnapshot(now time.Time) Snapshot {
	k := Snapshot{Epoch: l.epoch, Cursor: l.cursor, Confirmed: l.confirmedAt, Saved: now, History: l.history}
	k.History.Events = slices.Clone(l.history.Events)
	for _, e := range l.sorted {
		b := e.Endpoint
		b.RequestRate = max(e.requestRate(now), e.formerRate)
		if l.live && now.Sub(l.slowStart.endedAt) > rateWindow {
			b.RequestRate = e.requestRate(now)
		}
		if e.verification == Draining {
			b.State = balancer.Draining
		}
		k.Endpoints = append(k.Endpoints, b)
	}
	return k
}

func (e *entry) requestRate(now time.Time) float64 {
	if e.responseAt.IsZero() {
		return 0
	}
	seen := max(1-decay(now.Sub(e.firstResponseAt), rateWindow), 0.05) // less than the span has been seen of a young one
	return e.responses * decay(now.Sub(e.responseAt), rateWindow) / (rateWindow.Seconds() * seen)
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
	rows := make([]Row, 0, len(l.sorted))
	for _, e := range l.sorted {
		r := Row{Endpoint: e.Endpoint, Trust: l.confidence(now, e), Proof: e.verification, Age: -1}
		if !e.ageUnknown && !e.evidenceAt.IsZero() {
			r.Age = now.Sub(e.evidenceAt)
		}
		rows = append(rows, r)
	}
	return rows
}
