package daemon

import (
	"context"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/adminapi"
	"oakthread/internal/platform"
)

// forEachClass calls report with the numbers of served, rejected and failed requests of each class
// that has had a response.
func (d *daemon) forEachClass(report func(class string, served, rejected, failed int64)) {
	d.server.ForEachClass(func(class string, outcomes *platform.Outcomes) {
		report(class, outcomes.Completed.Load(), outcomes.Rejected.Load(), outcomes.Failed.Load())
	})
}

// adminCounters returns the counters that the admin API shows besides those of the classes. If the
// core does not respond before ctx ends, the result is marked stale and lacks the core's counters.
func (d *daemon) adminCounters(ctx context.Context) adminapi.Counters {
	counters := adminapi.Counters{
		Pending:       d.server.Pending(),
		Reloads:       d.reloader.succeeded.Load(),
		FailedReloads: d.reloader.failed.Load(),
	}
	type coreCounters struct {
		counters oakthread.Counters
		ejected  []balancer.WorkerID
	}
	answer := make(chan coreCounters, 1)
	go func() { answer <- coreCounters{d.core.Counters(), d.core.Ejected()} }() // ends when the core responds or closes
	select {
	case core := <-answer:
		// Nothing was sent by an attempt whose connection could not be established.
		counters.Attempts = core.counters.Attempts - core.counters.AttemptResults[balancer.ConnectFailed]
		counters.Ejected = core.ejected
	case <-ctx.Done():
		counters.Stale = true
	}
	return counters
}

// workerHealth returns the health of each worker in the form of the admin API. It returns false if
// the core does not respond before ctx ends.
func workerHealth(ctx context.Context, core *oakthread.Core) ([]adminapi.WorkerHealth, bool) {
	answer := make(chan []balancer.WorkerHealth, 1)
	go func() { answer <- core.WorkerHealth() }() // ends when the core responds or closes
	select {
	case workers := <-answer:
		rows := make([]adminapi.WorkerHealth, 0, len(workers))
		for _, worker := range workers {
			rows = append(rows, adminWorkerHealth(worker))
		}
		return rows, true
	case <-ctx.Done():
		return nil, false
	}
}

// adminWorkerHealth converts the health of a worker to the form of the admin API.
func adminWorkerHealth(worker balancer.WorkerHealth) adminapi.WorkerHealth {
	row := adminapi.WorkerHealth{
		Worker:          worker.Worker,
		Zone:            worker.Zone,
		State:           worker.Status.String(),
		Evidence:        worker.Reason,
		RecentSuccesses: worker.RecentServed,
		FailureFraction: worker.FailureRate,
		LatencyRatio:    worker.LatencyRatio,
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
