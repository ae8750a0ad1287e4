package endpoints

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakthread/balancer"
)

// maxTestID is the highest worker ID in the random events.
const maxTestID = 7

// listMachine applies random events to a list and records which workers the list must not publish
// as active.
type listMachine struct {
	list   *List
	view   balancerView
	now    time.Time
	cursor int64

	// inactiveSince is when a worker was last reported as draining or removed, without a newer
	// report of it.
	inactiveSince map[balancer.WorkerID]time.Time
}

// newListMachine returns a machine whose list is restored from a random snapshot.
func newListMachine(t *rapid.T) *listMachine {
	config := Config{Seed: rapid.Uint64().Draw(t, "seed"), Dispatchers: rapid.IntRange(1, 50).Draw(t, "dispatchers")}
	m := &listMachine{
		list: New(config), view: balancerView{}, now: startTime, cursor: 7,
		inactiveSince: map[balancer.WorkerID]time.Time{},
	}
	var cached []Endpoint
	for i := range rapid.IntRange(0, 5).Draw(t, "cached") {
		cached = append(cached, testEndpoint(i+1))
	}
	age := time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "age")) * time.Second
	m.list.Restore(m.now, cachedSnapshot(age, cached...))
	m.view.take(m.list)
	return m
}

// step advances the time and applies one random event to the list.
func (m *listMachine) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "after")) * time.Millisecond)
	id := balancer.WorkerID(rapid.IntRange(1, maxTestID).Draw(t, "worker"))
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		m.updateOne(id, balancer.EndpointState(rapid.IntRange(0, 2).Draw(t, "state")))
	case 1:
		m.updateAll(t)
	case 2:
		m.list.HandleConfirmation(m.now)
	case 3:
		m.list.HandleWatchLost(m.now)
	case 4:
		m.list.HandleObservation(m.now, id, Observation(rapid.IntRange(0, 6).Draw(t, "observation")))
	case 5:
		m.endCheck(id, Observation(rapid.IntRange(0, 6).Draw(t, "check")))
	case 6:
		m.list.HandleWatchReset(m.now)
		m.cursor = 0
	case 7:
		m.list.Admit(m.now)
	case 8:
		m.list.Tick(m.now)
	}
	m.view.take(m.list)
}

// updateOne applies a partial update of one endpoint.
func (m *listMachine) updateOne(id balancer.WorkerID, state balancer.EndpointState) {
	endpoint := testEndpoint(int(id))
	endpoint.State = state
	m.cursor++
	m.list.HandleUpdate(m.now, Update{Cursor: m.cursor, Endpoints: []Endpoint{endpoint}})
	delete(m.inactiveSince, id)
	if state != balancer.Active {
		m.inactiveSince[id] = m.now
	}
}

// updateAll applies a full update with a random list.
func (m *listMachine) updateAll(t *rapid.T) {
	var all []Endpoint
	clear(m.inactiveSince)
	for id := 1; id <= maxTestID; id++ {
		if rapid.Bool().Draw(t, "listed") {
			all = append(all, testEndpoint(id))
		} else {
			m.inactiveSince[balancer.WorkerID(id)] = m.now
		}
	}
	m.cursor++
	m.list.HandleUpdate(m.now, Update{Full: true, Cursor: m.cursor, Endpoints: all})
}

// endCheck ends a health check. An answer of a worker that service discovery has as active ends the
// drain that the worker reported itself.
func (m *listMachine) endCheck(id balancer.WorkerID, observation Observation) {
	m.list.HandleHealthCheck(m.now, id, observation)
	entry := m.list.entries[id]
	if entry == nil {
		return
	}
	switch {
	case observation == ReportedDraining:
		m.inactiveSince[id] = m.now
	case observation.isResponse() && entry.State == balancer.Active:
		delete(m.inactiveSince, id)
	}
}

// checkDrains fails if a worker is published as active within drainReportTTL after it was last
// reported as draining or removed.
func (m *listMachine) checkDrains(t *rapid.T) {
	for id, reportedAt := range m.inactiveSince {
		endpoint, isPublished := m.view[id]
		age := m.now.Sub(reportedAt)
		if isPublished && endpoint.State == balancer.Active && age < drainReportTTL {
			t.Fatalf("worker %d is published as active %v after it was reported as draining or removed", id, age)
		}
	}
}

// checkRows fails if a worker is listed twice, has a confidence outside 0..1 or one that increases
// with time, or is published without being listed.
func (m *listMachine) checkRows(t *rapid.T) {
	listed := map[balancer.WorkerID]bool{}
	for _, row := range m.list.Report(m.now) {
		if listed[row.ID] {
			t.Fatalf("worker %d is listed twice", row.ID)
		}
		listed[row.ID] = true
		later := m.list.Confidence(m.now.Add(time.Hour), row.ID)
		if !(row.Confidence >= 0 && row.Confidence <= 1) || later > row.Confidence {
			t.Fatalf("worker %d: confidence %v, an hour later %v", row.ID, row.Confidence, later)
		}
	}
	for id := range m.view {
		if !listed[id] {
			t.Fatalf("worker %d is published and not listed", id)
		}
	}
}

// The invariants of the published list and of confidence hold for random sequences of all events.
func TestInvariantsHoldOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newListMachine(t)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			machine.step(t)
			machine.checkDrains(t)
			machine.checkRows(t)
		}
	})
}
