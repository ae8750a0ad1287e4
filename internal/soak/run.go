package soak

// One run: it starts a fleet, injects the faults and checks the records.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/lab"
)

// Result is the result of a run.
type Result struct {
	Schedule   Schedule      `json:"schedule"`
	Violations []Violation   `json:"violations"`
	Requests   int           `json:"requests"`
	Served     int           `json:"served"`
	Unsent     int           `json:"unsent"`
	Stalled    time.Duration `json:"stalled"` // longest stall of the testbed process itself
	Dir        string        `json:"dir,omitempty"`
}

// Inconclusive reports whether the testbed process itself stalled for so long that the run shows
// nothing.
func (r Result) Inconclusive() bool { return r.Stalled > maxStall }

// maxStall is the longest stall of the testbed process that leaves its recorded times valid.
const maxStall = 150 * time.Millisecond

// ErrRunDirExists states that the directory of a run already exists.
var ErrRunDirExists = errors.New("soak: run directory already exists")

// Run runs a schedule in dir, which must not exist yet. program is the dispatcher program; it must
// accept the arguments --config and --faults. The error is ErrRunDirExists if dir exists, or
// reports that the run could not be carried out; violations are in the result.
func Run(ctx context.Context, schedule Schedule, dir string, program lab.Program) (Result, error) {
	res := Result{Schedule: schedule, Dir: dir}
	if _, err := os.Stat(dir); err == nil {
		// its cached lists would name the executors of another run
		return res, fmt.Errorf("%s: %w", dir, ErrRunDirExists)
	}
	network, err := lab.ClaimLoopbackRange()
	if err != nil {
		return res, err
	}
	defer network.Close()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return res, err
	}
	if err := schedule.Write(filepath.Join(dir, "schedule.json")); err != nil {
		return res, err
	}
	w, err := newWorld(schedule, dir, network, program)
	if err != nil {
		return res, err
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return res, err
	}
	sleep(ctx, time.Until(w.begin))
	stalls := watchStalls(ctx)
	calmFrom, calmTo, err := w.play(ctx)
	if err != nil {
		return res, err
	}
	w.end()
	res.Stalled = stalls()
	res.Violations = w.findViolations(calmFrom, calmTo)
	for _, clients := range w.clients {
		for _, request := range clients.Records() {
			res.Requests++
			switch {
			case request.End == Answered && request.Status == 200:
				res.Served++
			case request.End == NotSent:
				res.Unsent++
			}
		}
	}
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	return res, errors.Join(w.errs...)
}

// play runs the clients while the faults are injected, and then for the calm phase.
func (w *world) play(ctx context.Context) (calmFrom, calmTo time.Time, err error) {
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var clients, faults sync.WaitGroup
	for _, c := range w.clients {
		clients.Go(func() { c.run(sending) })
	}
	for _, fault := range w.Faults {
		faults.Go(func() { w.inject(ctx, fault) })
	}
	faults.Wait()
	sleep(ctx, time.Until(w.begin.Add(w.FaultTime)))
	calmFrom = time.Now().Add(recoveryTime)
	sleep(ctx, w.Calm)
	calmTo = time.Now()
	stopSending()
	clients.Wait()
	return calmFrom, calmTo, ctx.Err()
}

// findViolations collects the records of the run and checks them.
func (w *world) findViolations(calmFrom, calmTo time.Time) []Violation {
	r := Records{
		Disturbed: w.disturbed, Uninformed: w.uninformed, Drains: w.drains, CalmFrom: calmFrom, CalmTo: calmTo,
		AtMostOnce: func(class int) bool { return w.figures.Classes[class].NotIdempotent },
	}
	r.LoadQuota = loadQuotaOf(w.Deployment)
	for _, k := range w.figures.Classes {
		r.Longest = max(r.Longest, k.ClientTimeout)
	}
	for _, clients := range w.clients {
		r.Requests = append(r.Requests, clients.Records()...)
	}
	for _, executor := range w.executors {
		r.Arrivals = append(r.Arrivals, executor.receivedCalls()...)
		r.Orders = append(r.Orders, executor.receivedLoadOrders()...)
		r.LateDuplicates = append(r.LateDuplicates, executor.writtenLateDuplicates()...)
	}
	for _, node := range w.nodes {
		procs, paused := node.history()
		r.Incarnations, r.Paused = append(r.Incarnations, procs), append(r.Paused, paused)
	}
	found := FindViolations(r)
	for i, b := range append(append([]*lab.StubWorker(nil), w.rig.Workers...), w.rig.Replaced...) {
		if b.Collapsed() {
			found = append(found, Violation{RuleSlowStart, -1, b.ID, fmt.Sprintf("executor %d fell", i)})
		}
	}
	if n := lab.Oversize(w.rig.PeerNetwork.Datagrams()); n > 0 {
		found = append(found, Violation{RuleDatagrams, -1, "", fmt.Sprintf("%d datagrams over the limit", n)})
	}
	return found
}

// watchStalls measures stalls of this process. The returned function stops that and returns the
// longest stall.
func watchStalls(ctx context.Context) func() time.Duration {
	const every = 10 * time.Millisecond
	watching, stop := context.WithCancel(ctx)
	var longest atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := time.Now()
		for sleep(watching, every) {
			now := time.Now()
			longest.Store(max(longest.Load(), int64(now.Sub(last)-every)))
			last = now
		}
	}()
	return func() time.Duration {
		stop()
		<-done
		return time.Duration(longest.Load())
	}
}
