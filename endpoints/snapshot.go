package endpoints

import (
	"slices"
	"time"

	"oakthread/balancer"
)

// unknownEvidenceAge is the value of EndpointReport.EvidenceAge if the age is unknown.
const unknownEvidenceAge time.Duration = -1

// Snapshot is the persistent state of a List.
type Snapshot struct {
	Epoch       string
	Cursor      int64
	ConfirmedAt time.Time // when service discovery last confirmed that the list was current
	SavedAt     time.Time // when the snapshot was taken
	Endpoints   []Endpoint
	History     History
}

// TakeSnapshot returns the state of the list as of now, for saving.
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

// savedRate returns the request rate to save for an endpoint, in requests per second. While the
// watch is not live, and until rateWindow after slow start, a lower measurement does not replace
// the rate before the start: it may be low because admission was limited, not because demand fell.
func (l *List) savedRate(now time.Time, entry *listEntry) float64 {
	measured := entry.traffic.perSecond(now)
	if l.watch.live && now.Sub(l.slowStart.endedAt) > rateWindow {
		return measured
	}
	return max(measured, entry.ramp.formerRate)
}

// EndpointReport is an endpoint with the state that the list derives for it.
type EndpointReport struct {
	Endpoint
	Confidence   float64 // probability that the worker is running, from 0 to 1
	Verification Verification
	EvidenceAge  time.Duration // of the last evidence; below 0: unknown
}

// Report returns the reports on all endpoints as of now, ordered by worker ID.
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
