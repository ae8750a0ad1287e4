package lab

// The experiment kept-list: discovery fails, four workers in ten are replaced, and all dispatchers
// crash and restart within a second with cached lists of several ages. One run has four arms:
// discovery available, the cached list taken as fresh, no cached list, and the program's own
// handling. Results are counted at workers and clients only.

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// cachedListPlan is the size of a run and the length of its phases.
type cachedListPlan struct {
	dispatchers, workers int
	rate                 float64       // calls per second, in total
	warmup               time.Duration // until discovery fails and workers are replaced
	outage               time.Duration // from the restart until discovery returns
	tail                 time.Duration // from the return of discovery to the end of the run
}

const (
	armDiscoveryUp = iota
	armNaive
	armNoList
	armOurs
	cachedListArms
)

var cachedListArmNames = []string{"up", "naive", "none", "ours"}

var cachedListAges = []time.Duration{0, 10 * time.Minute, time.Hour, 6 * time.Hour}

// CachedList runs the experiment.
func CachedList(ctx context.Context, options Options) (*Report, error) {
	size := cachedListPlan{
		dispatchers: 30, workers: 60, rate: 3600,
		warmup: 10 * time.Second, outage: 8 * time.Second, tail: 16 * time.Second,
	}
	if options.Quick {
		size = cachedListPlan{
			dispatchers: 6, workers: 10, rate: 450,
			warmup: 5 * time.Second, outage: 4 * time.Second, tail: 9 * time.Second,
		}
	}
	rep := &Report{Name: "kept-list", Seed: options.Seed, Arms: cachedListArmNames, Note: fmt.Sprintf(
		"%d dispatchers (processes), %d boxes (sockets in one process), %.0f calls/s, lists 0 s to 6 h old",
		size.dispatchers, size.workers, size.rate)}
	net, err := ClaimLoopbackRange()
	if err != nil {
		return nil, err
	}
	defer net.Close()
	res := make([]*cachedListResult, cachedListArms)
	errs := make([]error, cachedListArms)
	var wait sync.WaitGroup
	for arm := range cachedListArms {
		one := func() { res[arm], errs[arm] = cachedListArm(ctx, options, net, arm, size) }
		if options.Quick { // the arms are small enough to run concurrently
			wait.Add(1)
			go func() { defer wait.Done(); one() }()
			continue
		}
		options.Log("arm %s", cachedListArmNames[arm])
		one()
	}
	wait.Wait()
	for arm, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("arm %s: %w", cachedListArmNames[arm], err)
		}
	}
	cachedListReport(rep, res, size)
	return rep, nil
}

// cachedListResult is the result of one arm.
type cachedListResult struct {
	calls                  int
	twice, unanswered      int
	wrong, lateSends       int
	collapsed              int
	maxReadyTime           time.Duration
	service                float64 // weighted value earned over that offered in the first 10 s
	unserved, unservedLate float64 // share of calls never served: from the restart, and from 3 s after it
	peak                   float64 // most calls at a remaining worker in any second, over its mean
	peakBefore             float64 // the same over 4 s before the crash, at all listed workers
	newWorkerLoad          float64 // mean calls per new worker at the end, over the mean of the remaining ones
	cpu                    float64 // dispatchers' CPU time per call before the crash, in microseconds
	maxLag                 time.Duration
	p99                    time.Duration
}

// cachedListArm runs one arm of the experiment.
func cachedListArm(
	ctx context.Context, options Options, net *LoopbackRange, arm int, size cachedListPlan,
) (*cachedListResult, error) {
	w := &cachedListWorld{f: PlannerFigures()}
	defer w.close()
	if err := w.build(net, arm, filepath.Join(options.Dir, cachedListArmNames[arm]), size, options.Seed); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := w.startAll(ctx, options.Seed, 0); err != nil {
		return nil, err
	}
	began := time.Now()
	var clients sync.WaitGroup
	sending, enough := context.WithCancel(ctx)
	defer enough()
	for _, c := range w.clients {
		clients.Go(func() { c.Run(sending) })
	}
	pause := func(until time.Time) { _ = sleepUntil(ctx, until) }

	pause(began.Add(size.warmup))
	if arm != armDiscoveryUp {
		w.disc.Down()
	}
	if err := w.replace(net, arm); err != nil {
		return nil, err
	}
	pause(began.Add(size.warmup + 700*time.Millisecond))
	killed := time.Now()
	cpu, err := w.crash(arm)
	if err != nil {
		return nil, err
	}
	readyCtx, giveUp := context.WithDeadline(ctx, killed.Add(size.outage+size.tail))
	defer giveUp()
	ready := make(chan error, 1)
	go func() { ready <- w.startAll(readyCtx, options.Seed+1, time.Second) }()
	restarted := killed.Add(time.Second)
	pause(restarted.Add(size.outage))
	returned := time.Now()
	if arm != armDiscoveryUp {
		if err := w.disc.Up(); err != nil {
			return nil, err
		}
	}
	pause(returned.Add(size.tail))
	enough()
	clients.Wait()
	if err := <-ready; err != nil {
		return nil, err
	}
	result := w.count(killed, restarted, returned, size)
	result.cpu = cpu
	if err := w.each((*Dispatcher).Stop); err != nil {
		return nil, fmt.Errorf("stopping the dispatchers: %w", err)
	}
	return result, nil
}

func sleepUntil(ctx context.Context, t time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(t)):
		return nil
	}
}
