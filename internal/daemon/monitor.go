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
	// monitorInterval is the time between two checks of the event loop and the clocks.
	monitorInterval = time.Second
	// counterInterval is the minimum time between two log lines of counters.
	counterInterval = 10 * time.Second
	// stallThreshold is the delay of the process or the event loop beyond which a stall is logged.
	// Clients notice a delay this long.
	stallThreshold = 300 * time.Millisecond
	// clockStepThreshold is the step of the wall clock beyond which it is logged.
	clockStepThreshold = 100 * time.Millisecond
	// listAgeThreshold is the time without a confirmation beyond which the endpoint list is logged
	// as unconfirmed. Service discovery confirms it every second.
	listAgeThreshold = 2 * time.Second
)

// monitor logs the counters, stalls of the process, steps of the wall clock and losses of the
// confirmation of the endpoint list.
type monitor struct {
	parts
	log    *slog.Logger
	memory int64 // memory limit of the process in bytes; 0: its runtime's limits are not set

	logged           oakthread.Counters // as last logged
	nextLog          time.Time
	lastCheck        time.Time
	loggedStep       time.Duration // of the wall clock since the start, as last logged
	unconfirmedSince time.Time     // last confirmation of the endpoint list; zero unless logged as unconfirmed
}

// newMonitor returns a monitor of the components of a daemon.
func newMonitor(d *daemon) *monitor {
	m := &monitor{parts: d.parts, log: d.log}
	if !d.options.SharedProcess {
		m.memory = d.cfg.Memory
	}
	return m
}

// run checks the daemon every monitorInterval until ctx ends.
func (m *monitor) run(ctx context.Context) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	m.loggedStep = monotime.Step()
	m.lastCheck = time.Now()
	m.nextLog = time.Now().Add(counterInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.check(ctx)
		}
	}
}

// check logs what has changed since the last check.
func (m *monitor) check(ctx context.Context) {
	woken := time.Now()
	updateRuntimeMemoryLimit(m.memory)
	counters := m.core.Counters()
	m.detectClockStep()
	m.detectUnconfirmedList(woken)
	m.detectStall(woken.Sub(m.lastCheck)-monitorInterval, time.Since(woken))
	if m.peers != nil && m.log.Enabled(ctx, slog.LevelDebug) {
		m.logFleetView()
	}
	m.lastCheck = time.Now()
	if counters != m.logged && !m.lastCheck.Before(m.nextLog) {
		m.logged, m.nextLog = counters, m.lastCheck.Add(counterInterval)
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

// detectUnconfirmedList logs when service discovery has not confirmed the endpoint list for
// listAgeThreshold, and when it confirms the list again.
func (m *monitor) detectUnconfirmedList(now time.Time) {
	age, ok := m.core.EndpointsAge()
	switch {
	case ok && age > listAgeThreshold && m.unconfirmedSince.IsZero():
		m.unconfirmedSince = now.Add(-age)
		m.log.Warn("endpoint list unconfirmed", "age", age)
	case ok && age <= listAgeThreshold && !m.unconfirmedSince.IsZero():
		m.log.Info("endpoint list confirmed again", "unconfirmed_for", now.Sub(m.unconfirmedSince))
		m.unconfirmedSince = time.Time{}
	}
}

// detectStall logs a stall of the process, whose timer fired late, or of the event loop, which
// responded late.
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
