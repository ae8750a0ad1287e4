package soak

// One run: it starts a world, injects the faults, and checks what it recorded.

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

// Result is what came of a run.
type Result struct {
	Schedule   Schedule      `json:"schedule"`
	Violations []Violation   `json:"violations"`
	Requests   int           `json:"requests"`
	Served     int           `json:"served"`
	Unsent     int           `json:"unsent"`
	Stalled    time.Duration `json:"stalled"` // the longest that the laboratory itself stood still
	Dir        string        `json:"dir,omitempty"`
}

// Inconclusive reports whether the laboratory itself stalled for so long that the run shows
// nothing.
func (r Result) Inconclusive() bool { return r.Stalled > stallMost }

// stallMost is how long the laboratory may stall before its times mean nothing.
const stallMost = 150 * time.Millisecond

// ErrUsed says that a folder holds an earlier run.
var ErrUsed = errors.New("soak: the folder of a run exists already")

// Run plays a schedule in a folder of its own. program is what a node runs; it takes the arguments
// --config and --faults.
func Run(ctx context.Context, schedule Schedule, dir string, program lab.Program) (Result, error) {
	res := Result{Schedule: schedule, Dir: dir}
	if _, err := os.Stat(dir); err == nil {
		return res, fmt.Errorf("%s: %w", dir, ErrUsed) // cached lists in it would lead to another run's executors
	}
	network, err := lab.ClaimNet()
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
	wait(ctx, time.Until(w.begin))
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
	return res, errors.Join(w.failed...)
}

// play lets the clients send while the faults come, and then for the calm end.
func (w *world) play(ctx context.Context) (calmFrom, calmTo time.Time, err error) {
	sending, enough := context.WithCancel(ctx)
	defer enough()
	var clients, faults sync.WaitGroup
	for _, c := range w.clients {
		clients.Go(func() { c.run(sending) })
	}
	for _, fault := range w.Faults {
		faults.Go(func() { w.inject(ctx, fault) })
	}
	faults.Wait()
	wait(ctx, time.Until(w.begin.Add(w.FaultTime)))
	calmFrom = time.Now().Add(calmLead)
	wait(ctx, w.Calm)
	calmTo = time.Now()
	enough()
	clients.Wait()
	return calmFrom, calmTo, ctx.Err()
}

// findViolations gathers the records of the run and checks them.
func (w *world) findViolations(calmFrom, calmTo time.Time) []Violation {
	r := Records{
		Disturbed: w.disturbed, Uninformed: w.uninformed, Drains: w.drains, CalmFrom: calmFrom, CalmTo: calmTo,
		Once: func(class int) bool { return w.figures.Classes[class].NotIdempotent },
	}
	r.Ration = rationOf(w.Deployment)
	for _, k := range w.figures.Classes {
		r.Longest = max(r.Longest, k.ClientTimeout)
	}
	for _, clients := range w.clients {
		r.Requests = append(r.Requests, clients.Records()...)
	}
	for _, executor := range w.executors {
		r.Arrivals = append(r.Arrivals, executor.received()...)
		r.Orders = append(r.Orders, executor.ordered()...)
	}
	for _, node := range w.nodes {
		lives, paused := node.history()
		r.Lives, r.Paused = append(r.Lives, lives), append(r.Paused, paused)
	}
	found := FindViolations(r)
	for i, b := range append(append([]*lab.StubWorker(nil), w.rig.Workers...), w.rig.Replaced...) {
		if b.Fallen() {
			found = append(found, Violation{RuleSlowStart, -1, b.ID, fmt.Sprintf("executor %d fell", i)})
		}
	}
	if n := lab.Oversize(w.rig.PeerNetwork.Datagrams()); n > 0 {
		found = append(found, Violation{RuleDatagrams, -1, "", fmt.Sprintf("%d datagrams over the limit", n)})
	}
	return found
}

// watchStalls watches for stalls of this process; the returned function ends that and returns the
// longest.
func watchStalls(ctx context.Context) func() time.Duration {
	const every = 10 * time.Millisecond
	watching, stop := context.WithCancel(ctx)
	var longest atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := time.Now()
		for wait(watching, every) {
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
