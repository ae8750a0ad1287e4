package lab

import (
	"math"
	"slices"
	"time"
)

// WorkerConfig holds the capacity and limits of an emulated worker.
type WorkerConfig struct {
	Cores          int
	Queue          int           // waiting jobs at which further calls are rejected
	MaxCopies      int           // copies of models that fit into memory
	MaxLoads       int           // loads that run in parallel at full speed
	IdleTimeout    time.Duration // idle time after which a copy is unloaded
	SlowStart      time.Duration // duration of the slow start; 0: none
	StartCapacity  float64       // share of full capacity at the start, 0 to 1
	CollapseWindow time.Duration // window of the overload rule: too much work in it in slow start means collapse
	OverloadFactor float64       // work permitted in the window, as a multiple of the current capacity
}

// Admission is a worker's decision on a job when it arrives.
type Admission int

// The worker admits a job, rejects it because its queue or memory is full, rejects it because it is
// draining, or is down.
const (
	Admitted Admission = iota
	RejectedFull
	RejectedDraining
	WorkerDown
)

// Warmth is the state in which an admitted job found its model.
type Warmth int

// The model was loaded, the job began its load, or the load was already under way.
const (
	WarmHit Warmth = iota
	BeganLoad
	AwaitedLoad
)

// Job is a call at a worker, or a load order where Order is set.
type Job struct {
	ID                 string
	Class              int
	Model              uint64
	Work               time.Duration
	Load               time.Duration // time that a load of the model takes
	Concurrency        int
	Order              bool
	Warmth             Warmth
	ConcurrentRequests int // jobs of the model at the worker when it arrived, at most 30
	Data               any // for the caller's use

	done time.Time
}

// modelCopy is a copy of a model in a worker's memory.
type modelCopy struct {
	ready       time.Time // when its load ends
	lastUsed    time.Time
	concurrency int
	running     int
	jobs        int // jobs that run on it or wait for it
}

// WorkerModel emulates a worker: concurrency, copies, loads, queue, slow start, draining and
// collapse. It has no clock, goroutine or I/O, so that it can run on sockets and in virtual time.
// Its methods must be called in chronological order.
type WorkerModel struct {
	cfg          WorkerConfig
	start        time.Time
	waiting      []*Job
	running      []*Job
	copies       map[uint64]*modelCopy
	loads        map[uint64]int // number of loads that began, by model
	draining     bool
	collapsed    bool
	stalledUntil time.Time     // no job progresses before
	slowdown     float64       // factor on the duration of jobs
	recentWork   []arrivedWork // work that arrived in slow start, within the window of the overload rule
	usage        float64       // exponentially decaying mean share of busy cores
	usageAt      time.Time
	unloads      unloads
}

// unloads counts unloaded copies: idle ones evicted for a load, idle ones unloaded at a
// dispatcher's request, and those that expired because they were idle for too long.
type unloads struct{ evicted, requested, expired int }

// arrivedWork is the work of a call that arrived in slow start.
type arrivedWork struct {
	at   time.Time
	work time.Duration
}

// NewWorkerModel returns a worker without loaded copies whose process started at start.
func NewWorkerModel(cfg WorkerConfig, start time.Time) *WorkerModel {
	return &WorkerModel{
		cfg: cfg, start: start, copies: map[uint64]*modelCopy{}, loads: map[uint64]int{}, slowdown: 1,
		usageAt: start,
	}
}

// Capacity returns the worker's capacity at now, as a share of its full capacity.
func (b *WorkerModel) Capacity(now time.Time) float64 {
	age := now.Sub(b.start)
	if b.cfg.SlowStart <= 0 || age >= b.cfg.SlowStart {
		return 1
	}
	return b.cfg.StartCapacity + (1-b.cfg.StartCapacity)*float64(max(0, age))/float64(b.cfg.SlowStart)
}

// Drain makes the worker reject new jobs; admitted jobs continue.
func (b *WorkerModel) Drain() { b.draining = true }

// Draining reports whether Drain was called.
func (b *WorkerModel) Draining() bool { return b.draining }

// Collapsed reports whether the worker has collapsed under load.
func (b *WorkerModel) Collapsed() bool { return b.collapsed }

// Slow makes jobs that start from now on take factor times as long.
func (b *WorkerModel) Slow(factor float64) { b.slowdown = factor }

// Started returns when the worker's process started.
func (b *WorkerModel) Started() time.Time { return b.start }

// Stall stops all progress of jobs until the given time.
func (b *WorkerModel) Stall(until time.Time) { b.stalledUntil = until }

// Arrive admits or rejects a job. Advance returns an admitted job when it has ended.
func (b *WorkerModel) Arrive(now time.Time, job *Job) Admission {
	switch {
	case b.collapsed:
		return WorkerDown
	case b.draining:
		return RejectedDraining
	}
	if b.overloaded(now, job) {
		b.collapsed = true
		return WorkerDown
	}
	if !job.Order && len(b.waiting) >= b.cfg.Queue {
		return RejectedFull
	}
	b.unloadExpired(now)
	loaded := b.copies[job.Model]
	switch {
	case loaded == nil:
		if !b.evictForLoad() {
			return RejectedFull
		}
		loading := 0
		for _, x := range b.copies {
			if x.ready.After(now) {
				loading++
			}
		}
		wait := job.Load * time.Duration(1+loading/max(1, b.cfg.MaxLoads))
		loaded = &modelCopy{ready: now.Add(wait), concurrency: max(1, job.Concurrency)}
		b.copies[job.Model] = loaded
		b.loads[job.Model]++
		job.Warmth = BeganLoad
	case loaded.ready.After(now):
		job.Warmth = AwaitedLoad
	}
	job.ConcurrentRequests = min(loaded.jobs, 30)
	loaded.jobs++
	loaded.lastUsed = now
	b.waiting = append(b.waiting, job)
	return Admitted
}

// overloaded records the work of a call that arrives in slow start and reports whether it violates
// the overload rule: within the window, at most the overload factor times the work that the current
// capacity completes, plus two calls' work for random variation. Load orders don't count.
func (b *WorkerModel) overloaded(now time.Time, job *Job) bool {
	if b.cfg.CollapseWindow <= 0 || b.Capacity(now) >= 1 || job.Order {
		return false
	}
	b.recentWork = append(b.recentWork, arrivedWork{now, job.Work})
	for len(b.recentWork) > 0 && now.Sub(b.recentWork[0].at) > b.cfg.CollapseWindow {
		b.recentWork = b.recentWork[1:]
	}
	sum := time.Duration(0)
	for _, s := range b.recentWork {
		sum += s.work
	}
	limit := b.cfg.OverloadFactor * b.Capacity(now) * float64(b.cfg.Cores) * float64(b.cfg.CollapseWindow)
	return float64(sum) > limit+float64(2*job.Work)
}

// unloadExpired unloads copies that have been idle for too long.
func (b *WorkerModel) unloadExpired(now time.Time) {
	for m, loaded := range b.copies {
		if loaded.jobs == 0 && now.Sub(loaded.lastUsed) > b.cfg.IdleTimeout {
			delete(b.copies, m)
			b.unloads.expired++
		}
	}
}

// evictForLoad unloads the copy that has been idle for longest if memory is full. It returns false
// if memory is full and no copy is idle.
func (b *WorkerModel) evictForLoad() bool {
	if len(b.copies) < b.cfg.MaxCopies {
		return true
	}
	var oldest uint64
	var oldestCopy *modelCopy
	for m, loaded := range b.copies {
		if loaded.jobs == 0 && (oldestCopy == nil || loaded.lastUsed.Before(oldestCopy.lastUsed) ||
			loaded.lastUsed.Equal(oldestCopy.lastUsed) && m < oldest) {
			oldest, oldestCopy = m, loaded
		}
	}
	if oldestCopy == nil {
		return false
	}
	delete(b.copies, oldest)
	b.unloads.evicted++
	return true
}

// Next returns when the next running job or load that a job waits for ends, not before the end of a
// stall, or the zero time if there is none.
func (b *WorkerModel) Next(now time.Time) (at time.Time) {
	consider := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, job := range b.running {
		consider(job.done)
	}
	for _, job := range b.waiting {
		if loaded := b.copies[job.Model]; loaded.ready.After(now) {
			consider(loaded.ready)
		}
	}
	if !at.IsZero() && at.Before(b.stalledUntil) {
		at = b.stalledUntil
	}
	return at
}

// Advance advances the model to now and returns the jobs that have ended, in order of their ends.
func (b *WorkerModel) Advance(now time.Time) (ended []*Job) {
	if now.Before(b.stalledUntil) {
		return nil
	}
	for {
		// Takes the earliest end first, so that its core is free from that time on.
		at := now
		for _, job := range b.running {
			if job.done.Before(at) {
				at = job.done
			}
		}
		n := len(ended)
		b.updateUsage(at)
		b.running = slices.DeleteFunc(b.running, func(job *Job) bool {
			if job.done.After(at) {
				return false
			}
			loaded := b.copies[job.Model]
			loaded.running--
			loaded.jobs--
			loaded.lastUsed = at
			ended = append(ended, job)
			return true
		})
		ended = append(ended, b.startJobs(at)...)
		if len(ended) == n && at.Equal(now) {
			return ended
		}
	}
}

// startJobs starts the waiting jobs that can run, and returns the load orders whose copy is loaded:
// they have ended.
func (b *WorkerModel) startJobs(now time.Time) (ended []*Job) {
	b.waiting = slices.DeleteFunc(b.waiting, func(job *Job) bool {
		loaded := b.copies[job.Model]
		if loaded.ready.After(now) {
			return false
		}
		if job.Order {
			loaded.jobs--
			ended = append(ended, job)
			return true
		}
		if len(b.running) >= b.cfg.Cores || loaded.running >= loaded.concurrency {
			return false
		}
		loaded.running++
		job.done = now.Add(time.Duration(float64(job.Work) * b.slowdown / b.Capacity(now)))
		b.running = append(b.running, job)
		return true
	})
	return ended
}

const usageTimeConstant = 300 * time.Millisecond

func (b *WorkerModel) updateUsage(now time.Time) {
	f := math.Exp(-float64(now.Sub(b.usageAt)) / float64(usageTimeConstant))
	b.usage = b.usage*f + (1-f)*float64(len(b.running))/float64(max(1, b.cfg.Cores))
	b.usageAt = now
}

// Report returns the load that the worker reports: the number of waiting calls, and the mean share
// of busy cores, 0 to 1.
func (b *WorkerModel) Report(now time.Time) (queue int, util float64) {
	b.updateUsage(now)
	for _, job := range b.waiting {
		if !job.Order {
			queue++
		}
	}
	return queue, b.usage
}

// Loaded returns the number of loaded copies of a model, 0 or 1.
func (b *WorkerModel) Loaded(now time.Time, model uint64) int {
	if loaded := b.copies[model]; loaded != nil && !loaded.ready.After(now) {
		return 1
	}
	return 0
}

// Loads returns how many loads of a model have begun at this worker.
func (b *WorkerModel) Loads(model uint64) int { return b.loads[model] }

// Holds reports whether a copy of the model is loaded or being loaded.
func (b *WorkerModel) Holds(now time.Time, model uint64) bool {
	b.unloadExpired(now)
	return b.copies[model] != nil
}

// Unload unloads a model's copy if it is idle.
func (b *WorkerModel) Unload(model uint64) {
	if loaded := b.copies[model]; loaded != nil && loaded.jobs == 0 {
		delete(b.copies, model)
		b.unloads.requested++
	}
}
