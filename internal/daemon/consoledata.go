package daemon

import (
	"context"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/adminapi"
	"oakthread/internal/platform"
)

// answersByClass calls report with the served, rejected and failed requests of each class.
func (d *daemon) answersByClass(report func(class string, served, rejected, failed int64)) {
	d.server.Tally(func(class string, outcomes *platform.Outcomes) {
		report(class, outcomes.Completed.Load(), outcomes.Rejected.Load(), outcomes.Failed.Load())
	})
}

// consoleFigures returns the totals that the console shows besides the answers. Those of the core
// are marked stale if it does not answer before ctx ends.
func (d *daemon) consoleFigures(ctx context.Context) adminapi.Figures {
	figures := adminapi.Figures{
		Pending: d.server.Pending(),
		Reloads: d.reloader.succeeded.Load(),
		Fails:   d.reloader.failed.Load(),
	}
	type coreFigures struct {
		counters oakthread.Counters
		ejected  []balancer.WorkerID
	}
	answer := make(chan coreFigures, 1)
	go func() { answer <- coreFigures{d.core.Counters(), d.core.Ejected()} }() // ends when the core answers or closes
	select {
	case of := <-answer:
		// Of an attempt whose connection failed, nothing was written.
		figures.Attempts = of.counters.Attempts - of.counters.AttemptResults[balancer.ConnectFailed]
		figures.Ejected = of.ejected
	case <-ctx.Done():
		figures.Stale = true
	}
	return figures
}

// workerHealth returns the health of each worker in the form of the console, and false if the core
// does not answer before ctx ends.
func workerHealth(ctx context.Context, core *oakthread.Core) ([]adminapi.Verdict, bool) {
	answer := make(chan []balancer.WorkerHealth, 1)
	go func() { answer <- core.WorkerHealth() }() // ends when the core answers or closes
	select {
	case workers := <-answer:
		rows := make([]adminapi.Verdict, 0, len(workers))
		for _, worker := range workers {
			rows = append(rows, consoleRow(worker))
		}
		return rows, true
	case <-ctx.Done():
		return nil, false
	}
}

// consoleRow returns the health of a worker in the form of the console.
func consoleRow(worker balancer.WorkerHealth) adminapi.Verdict {
	row := adminapi.Verdict{
		Executor:  worker.Worker,
		Zone:      worker.Zone,
		Verdict:   worker.Status.String(),
		Evidence:  worker.Evidence,
		Served:    worker.Good,
		Failed:    worker.Bad,
		Pace:      worker.Pace,
		Observers: [2]int{int(worker.Word.Good), int(worker.Word.Bad)},
		WordAgeMS: -1,
		TrialInMS: time.Duration(worker.TrialIn).Milliseconds(),
		Unreached: worker.Unreachable,
	}
	if worker.WordAge >= 0 {
		row.WordAgeMS = time.Duration(worker.WordAge).Milliseconds()
	}
	return row
}
