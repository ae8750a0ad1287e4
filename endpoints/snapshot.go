package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

// unknownRowAge is the age that a Row has when the age of the evidence is unknown.
const unknownRowAge time.Duration = -1

// TakeSnapshot returns the state of the list for saving.
func (l *List) TakeSnapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Epoch: l.watch.epoch, Cursor: l.watch.cursor, Confirmed: l.watch.confirmedAt, Saved: now, History: l.history,
	}
	snapshot.History.Events = slices.Clone(l.history.Events)
	for _, entry := range l.sorted {
		endpoint := entry.Endpoint
		endpoint.RequestRate = l.savedRate(now, entry)
		if entry.verification == Draining {
			endpoint.State = balancer.Draining
		}
		snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
	}
	return snapshot
}

// savedRate returns the request rate to save for an endpoint. Until the rate has been measured for
// one window after slow start, a lower measurement does not replace the rate before the start:
// admission was limited, not demand.
func (l *List) savedRate(now time.Time, entry *listEntry) float64 {
	measured := entry.traffic.perSecond(now)
	if l.watch.live && now.Sub(l.slowStart.endedAt) > rateWindow {
		return measured
	}
	return max(measured, entry.ramp.formerRate)
}

// Row is the report on one endpoint.
type Row struct {
	Endpoint
	Trust float64 // probability that the worker is running
	Proof Verification
	Age   time.Duration // of the last evidence; below 0: unknown
}

// Rows returns the report on all endpoints, ordered by ID.
func (l *List) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(l.sorted))
	for _, entry := range l.sorted {
		row := Row{
			Endpoint: entry.Endpoint, Trust: l.confidence(now, entry), Proof: entry.verification, Age: unknownRowAge,
		}
		if !entry.evidence.ageUnknown && !entry.evidence.at.IsZero() {
			row.Age = now.Sub(entry.evidence.at)
		}
		rows = append(rows, row)
	}
	return rows
}
