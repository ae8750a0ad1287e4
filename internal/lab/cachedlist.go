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

// cachedListPlan is how large a run is, and how long its parts are.
type cachedListPlan struct {
	dispatchers, workers int
	rate                 float64       // calls per second, all together
	warm                 time.Duration // until discovery fails and workers are replaced
	back                 time.Duration // from the restart until discovery returns
	end                  time.Duration // from then to the end
}

const (
	armUp = iota
	armFresh
	armNone
	armOurs
	cachedListArms
)

var cachedListArmNames = []string{"up", "naive", "none", "ours"}

var cachedListAges = []time.Duration{0, 10 * time.Minute, time.Hour, 6 * time.Hour}

// CachedList runs the experiment.
func CachedList(ctx context.Context, options Options) (*Report, error) {
	size := cachedListPlan{
		dispatchers: 30, workers: 60, rate: 3600,
		warm: 10 * time.Second, back: 8 * time.Second, end: 16 * time.Second,
	}
	if options.Quick {
		size = cachedListPlan{
			dispatchers: 6, workers: 10, rate: 450,
			warm: 5 * time.Second, back: 4 * time.Second, end: 9 * time.Second,
		}
	}
	rep := &Report{Name: "kept-list", Seed: options.Seed, Arms: cachedListArmNames, Note: fmt.Sprintf(
		"%d dispatchers (processes), %d boxes (sockets in one process), %.0f calls/s, lists 0 s to 6 h old",
		size.dispatchers, size.workers, size.rate)}
	net, err := ClaimNet()
	if err != nil {
		return nil, err
	}
	defer net.Close()
	res := make([]*cachedListResult, cachedListArms)
	errs := make([]error, cachedListArms)
	var wait sync.WaitGroup
	for arm := range cachedListArms {
		one := func() { res[arm], errs[arm] = cachedListArm(ctx, options, net, arm, size) }
		if options.Quick { // the arms are small: they run beside one another
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
	calls              int
	twice, unanswered  int
	wrong, lateDrains  int
	fallen             int
	readyMost          time.Duration
	service            float64 // weighted value earned over that offered in the first 10 s
	errors, errorsLate float64 // share of calls never served: from the restart, and from 3 s after it
	peak               float64 // most calls at a remaining worker in any second, over its mean
	calm               float64 // the same over 4 s before the crash, at all listed workers
	fresh              float64 // calls at new workers at the end, over the mean of the others
	cpu                float64 // microseconds of the dispatchers' CPU for each call, before the crash
	late               time.Duration
	p99                time.Duration
}

// cachedListArm plays one arm of the experiment.
func cachedListArm(
	ctx context.Context, options Options, net *Net, arm int, size cachedListPlan,
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

	pause(began.Add(size.warm))
	if arm != armUp {
		w.disc.Down()
	}
	if err := w.replace(net, arm); err != nil {
		return nil, err
	}
	pause(began.Add(size.warm + 700*time.Millisecond))
	killed := time.Now()
	cpu, err := w.crash(arm)
	if err != nil {
		return nil, err
	}
	readyCtx, giveUp := context.WithDeadline(ctx, killed.Add(size.back+size.end))
	defer giveUp()
	ready := make(chan error, 1)
	go func() { ready <- w.startAll(readyCtx, options.Seed+1, time.Second) }()
	restarted := killed.Add(time.Second)
	pause(restarted.Add(size.back))
	returned := time.Now()
	if arm != armUp {
		if err := w.disc.Up(); err != nil {
			return nil, err
		}
	}
	pause(returned.Add(size.end))
	enough()
	clients.Wait()
	if err := <-ready; err != nil {
		return nil, err
	}
	result := w.count(killed, restarted, returned, size)
	result.cpu = cpu
	if err := w.all((*Dispatcher).Stop); err != nil {
		return nil, fmt.Errorf("a dispatcher did not end well: %w", err)
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
