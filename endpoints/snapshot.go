package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

// unknownEvidenceAge is the reported age of evidence whose age is unknown.
const unknownEvidenceAge time.Duration = -1

// Snapshot is the persistent state of a List.
type Snapshot struct {
	Epoch       string
	Cursor      int64
	ConfirmedAt time.Time // when service discovery last confirmed that the list is current
	SavedAt     time.Time
	Endpoints   []Endpoint
	History     History
}

// TakeSnapshot returns the state of the list for saving.
func (l *List) TakeSnapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Epoch:       l.watch.epoch,
		Cursor:      l.watch.cursor,
		ConfirmedAt: l.watch.confirmedAt,
		SavedAt:     now,
		History:     l.history,
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

// EndpointReport is the report on one endpoint.
type EndpointReport struct {
	Endpoint
	Confidence   float64 // probability that the worker is running
	Verification Verification
	EvidenceAge  time.Duration // of the last evidence; below 0: unknown
}

// Report returns the report on all endpoints, ordered by ID.
func (l *List) Report(now time.Time) []EndpointReport {
	rows := make([]EndpointReport, 0, len(l.sorted))
	for _, entry := range l.sorted {
		row := EndpointReport{
			Endpoint:     entry.Endpoint,
			Confidence:   l.confidence(now, entry),
			Verification: entry.verification,
			EvidenceAge:  unknownEvidenceAge,
		}
		if !entry.evidence.ageUnknown && !entry.evidence.at.IsZero() {
			row.EvidenceAge = now.Sub(entry.evidence.at)
		}
		rows = append(rows, row)
	}
	return rows
}
