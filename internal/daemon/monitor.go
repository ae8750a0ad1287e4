package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"time"

	"oakthread"
	"oakthread/internal/monotime"
)

const (
	// monitorInterval is the time between two looks at the event loop and the clocks.
	monitorInterval = time.Second
	// counterInterval is the least time between two log lines of counters.
	counterInterval = 10 * time.Second
	// stallThreshold is the delay of the process or the event loop that is logged. Clients notice a
	// delay this long.
	stallThreshold = 300 * time.Millisecond
	// clockStepThreshold is the step of the wall clock that is logged.
	clockStepThreshold = 100 * time.Millisecond
	// listAgeThreshold is the time without a confirmation of the endpoint list that is logged.
	// Discovery confirms it every second.
	listAgeThreshold = 2 * time.Second
)

// monitor logs the counters, stalls of the process and steps of the wall clock.
type monitor struct {
	parts
	log *slog.Logger

	logged     oakthread.Counters // as last logged
	nextLog    time.Time
	lastLook   time.Time
	loggedStep time.Duration // of the wall clock since the start, as last logged
	listLostAt time.Time     // when discovery had last confirmed the endpoint list; zero while it does
}

// newMonitor returns a monitor of the parts of a daemon.
func newMonitor(d *daemon) *monitor {
	return &monitor{parts: d.parts, log: d.log}
}

// run looks at the daemon at every interval until ctx ends.
func (m *monitor) run(ctx context.Context) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	m.loggedStep = monotime.Step()
	m.lastLook = time.Now()
	m.nextLog = time.Now().Add(counterInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.look(ctx)
		}
	}
}

// look logs what has changed since the last look.
func (m *monitor) look(ctx context.Context) {
	woken := time.Now()
	counters := m.core.Counters()
	m.detectClockStep()
	m.detectListLoss(woken)
	m.detectStall(woken.Sub(m.lastLook)-monitorInterval, time.Since(woken))
	if m.peers != nil && m.log.Enabled(ctx, slog.LevelDebug) {
		m.logFleetView()
	}
	m.lastLook = time.Now()
	if counters != m.logged && !m.lastLook.Before(m.nextLog) {
		m.logged, m.nextLog = counters, m.lastLook.Add(counterInterval)
		m.logCounters(counters)
	}
}

// detectClockStep logs a step of the wall clock.
func (m *monitor) detectClockStep() {
	step := monotime.Step()
	if (step - m.loggedStep).Abs() > clockStepThreshold {
		m.log.Warn("wall clock stepped", "step", step-m.loggedStep, "since_start", step)
		m.loggedStep = step
	}
}

// detectListLoss logs that discovery has not confirmed the endpoint list for a while, and when it does
// again.
func (m *monitor) detectListLoss(now time.Time) {
	age, ok := m.core.EndpointsAge()
	switch {
	case ok && age > listAgeThreshold && m.listLostAt.IsZero():
		m.listLostAt = now.Add(-age)
		m.log.Warn("endpoint list unconfirmed", "age", age)
	case ok && age <= listAgeThreshold && !m.listLostAt.IsZero():
		m.log.Info("endpoint list confirmed again", "unconfirmed_for", now.Sub(m.listLostAt))
		m.listLostAt = time.Time{}
	}
}

// detectStall logs a stall of the process, which woke late, or of the event loop, which answered
// late.
func (m *monitor) detectStall(processDelay, loopDelay time.Duration) {
	if processDelay > stallThreshold || loopDelay > stallThreshold {
		m.log.Warn("event loop stalled", "process_delay", processDelay, "loop_delay", loopDelay)
	}
}

// logFleetView logs the aggregated load of all dispatchers.
func (m *monitor) logFleetView() {
	view := m.core.FleetView()
	likely := make([]float64, 0, len(view.Totals))
	for _, total := range view.Totals {
		likely = append(likely, math.Round(10*total.Likely)/10)
	}
	m.log.Debug("shared", "heard", view.CoveredCount, "missing", view.MissingCount, "age", time.Duration(view.Age),
		"never", view.NoDigest, "likely", fmt.Sprint(likely))
}
