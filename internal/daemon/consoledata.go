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
	d.server.ForEachClass(func(class string, outcomes *platform.Outcomes) {
		report(class, outcomes.Completed.Load(), outcomes.Rejected.Load(), outcomes.Failed.Load())
	})
}

// consoleFigures returns the totals that the console shows besides the answers. Those of the core
// are marked stale if it does not answer before ctx ends.
func (d *daemon) consoleFigures(ctx context.Context) adminapi.Counters {
	figures := adminapi.Counters{
		Pending:       d.server.Pending(),
		Reloads:       d.reloader.succeeded.Load(),
		FailedReloads: d.reloader.failed.Load(),
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
func workerHealth(ctx context.Context, core *oakthread.Core) ([]adminapi.WorkerHealth, bool) {
	answer := make(chan []balancer.WorkerHealth, 1)
	go func() { answer <- core.WorkerHealth() }() // ends when the core answers or closes
	select {
	case workers := <-answer:
		rows := make([]adminapi.WorkerHealth, 0, len(workers))
		for _, worker := range workers {
			rows = append(rows, consoleRow(worker))
		}
		return rows, true
	case <-ctx.Done():
		return nil, false
	}
}

// consoleRow returns the health of a worker in the form of the console.
func consoleRow(worker balancer.WorkerHealth) adminapi.WorkerHealth {
	row := adminapi.WorkerHealth{
		Worker:          worker.Worker,
		Zone:            worker.Zone,
		State:           worker.Status.String(),
		Evidence:        worker.Reason,
		RecentSuccesses: worker.RecentServed,
		FailureFraction: worker.FailureRate,
		LatencyRatio:    worker.Pace,
		Observers:       [2]int{int(worker.Gossip.Served), int(worker.Gossip.Failed)},
		GossipAgeMS:     -1,
		NextCheckInMS:   time.Duration(worker.NextTrialIn).Milliseconds(),
		Unreachable:     worker.Unreachable,
	}
	if worker.GossipAge >= 0 {
		row.GossipAgeMS = time.Duration(worker.GossipAge).Milliseconds()
	}
	return row
}
