package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// endpointList is the exported form of a cached endpoint list. Its JSON is read by import and by
// operators' scripts.
type endpointList struct {
	Owner       string        `json:"owner"`
	Schema      int           `json:"schema"`
	Epoch       string        `json:"epoch,omitempty"`
	Cursor      int64         `json:"cursor"`
	Confirmed   time.Time     `json:"confirmed"`
	Saved       time.Time     `json:"saved"`
	FailureRate float64       `json:"leaves_per_box_hour"` // departures per worker and hour
	Watched     string        `json:"watched"`             // observed time, summed over all workers
	Departures  float64       `json:"leaves"`
	Restarts    float64       `json:"restarts"`
	Corrupt     int           `json:"records_left_out,omitempty"`
	Endpoints   []endpointRow `json:"boxes"`
}

// endpointRow is the exported form of an endpoint.
type endpointRow struct {
	ID          string     `json:"id"`
	Addr        string     `json:"addr"`
	State       string     `json:"state"`
	Confidence  float64    `json:"trust"` // probability that the worker is still running
	Age         string     `json:"age"`   // of the last evidence, or "unknown"
	Zone        int        `json:"zone"`
	Kind        int        `json:"kind"`
	Cell        int        `json:"cell"`
	Weight      float64    `json:"weight"`
	RequestRate float64    `json:"pace_per_s"`
	Start       *time.Time `json:"start,omitempty"`
	UpdatedAt   *time.Time `json:"told,omitempty"`
	VerifiedAt  *time.Time `json:"proved,omitempty"`
}

// stateNames are the names of the states of an endpoint, by balancer.EndpointState.
var stateNames = []string{"off", "draining", "on"}

// newEndpointList returns the exported form of a list that was read from a file, as of now.
func newEndpointList(found endpointcache.Contents, now time.Time) endpointList {
	list := endpoints.New(endpoints.Config{})
	list.Restore(now, found.Snapshot)
	snapshot, history := found.Snapshot, found.Snapshot.History
	exported := endpointList{
		Owner:       found.Owner,
		Schema:      found.Schema,
		Epoch:       snapshot.Epoch,
		Cursor:      snapshot.Cursor,
		Confirmed:   snapshot.ConfirmedAt.UTC(),
		Saved:       snapshot.SavedAt.UTC(),
		FailureRate: history.FailureRate(),
		Watched:     history.ObservedTime.Round(time.Second).String(),
		Departures:  history.Departures,
		Restarts:    history.Restarts,
		Corrupt:     found.CorruptRecords,
		Endpoints:   []endpointRow{},
	}
	for _, row := range list.Report(now) {
		exported.Endpoints = append(exported.Endpoints, newEndpointRow(row))
	}
	return exported
}

func newEndpointRow(row endpoints.EndpointReport) endpointRow {
	age := "unknown"
	if row.EvidenceAge >= 0 {
		age = row.EvidenceAge.Round(time.Second).String()
	}
	return endpointRow{
		ID:          fmt.Sprintf("s-%08x", uint32(row.ID)),
		Addr:        row.Addr,
		State:       stateNames[row.State],
		Confidence:  row.Confidence,
		Age:         age,
		Zone:        row.Zone,
		Kind:        row.Kind,
		Cell:        row.Cell,
		Weight:      row.Weight,
		RequestRate: row.RequestRate,
		Start:       optionalTime(row.Start),
		UpdatedAt:   optionalTime(row.UpdatedAt),
		VerifiedAt:  optionalTime(row.VerifiedAt),
	}
}

// snapshot converts the list to the form that is written to a file.
func (l *endpointList) snapshot() (endpoints.Snapshot, error) {
	snapshot := endpoints.Snapshot{
		Epoch:       l.Epoch,
		Cursor:      l.Cursor,
		ConfirmedAt: l.Confirmed,
		SavedAt:     l.Saved,
		History:     endpoints.History{Departures: l.Departures, Restarts: l.Restarts},
	}
	var err error
	if snapshot.History.ObservedTime, err = time.ParseDuration(l.Watched); err != nil {
		return snapshot, fmt.Errorf("watched: %w", err)
	}
	for i, row := range l.Endpoints {
		endpoint, err := row.endpoint()
		if err != nil {
			return snapshot, fmt.Errorf("boxes[%d]: %w", i, err)
		}
		snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
	}
	return snapshot, nil
}

func (r *endpointRow) endpoint() (endpoints.Endpoint, error) {
	id, err := parseWorkerID(r.ID)
	if err != nil {
		return endpoints.Endpoint{}, err
	}
	state := slices.Index(stateNames, r.State)
	if state < 0 {
		return endpoints.Endpoint{}, fmt.Errorf("unknown state %q", r.State)
	}
	return endpoints.Endpoint{
		ID:          id,
		Addr:        r.Addr,
		Zone:        r.Zone,
		Kind:        r.Kind,
		Cell:        r.Cell,
		State:       balancer.EndpointState(state),
		Weight:      r.Weight,
		RequestRate: r.RequestRate,
		Start:       timeOrZero(r.Start),
		UpdatedAt:   timeOrZero(r.UpdatedAt),
		VerifiedAt:  timeOrZero(r.VerifiedAt),
	}, nil
}

// printTable prints the list as a human-readable table.
func (l *endpointList) printTable(out io.Writer) error {
	fmt.Fprintf(out, "dispatcher %s, epoch %q, cursor %d\n", l.Owner, l.Epoch, l.Cursor)
	fmt.Fprintf(out, "confirmed %s, saved %s\n", l.Confirmed.Format(time.RFC3339), l.Saved.Format(time.RFC3339))
	fmt.Fprintf(out, "%.3g departures per box-hour (%.3g in %s watched), %.3g restarts\n",
		l.FailureRate, l.Departures, l.Watched, l.Restarts)
	if l.Corrupt > 0 {
		fmt.Fprintf(out, "%d records fail their checksum and are left out\n", l.Corrupt)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BOX\tADDRESS\tSTATE\tTRUST\tAGE\tPACE/S\tPROVED")
	for _, row := range l.Endpoints {
		verified := "never"
		if row.VerifiedAt != nil {
			verified = row.VerifiedAt.Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.3f\t%s\t%.2f\t%s\n",
			row.ID, row.Addr, row.State, row.Confidence, row.Age, row.RequestRate, verified)
	}
	return table.Flush()
}

// parseWorkerID parses an id such as s-00c41f7a. The prefix may be left out.
func parseWorkerID(s string) (balancer.WorkerID, error) {
	digits := s
	if rest, ok := strings.CutPrefix(s, "s-"); ok && rest != "" {
		digits = rest
	}
	n, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, fmt.Errorf("worker %q: want s- and 8 hex digits, as printed by endpoints show", s)
	}
	return balancer.WorkerID(n), nil
}

// optionalTime returns t in UTC, or nil if it is zero.
func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.UTC()
	return &t
}

// timeOrZero returns the time that t points to, or the zero time if t is nil.
func timeOrZero(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}
