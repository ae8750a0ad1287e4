package lab

import (
	"math"
	"slices"
	"time"
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	Cores    int
	Queue    int           // calls that may wait
	Copies   int           // that memory holds
	Loads    int           // at a time
	Keep     time.Duration // an idle copy is unloaded after this
	Warm     time.Duration // from its start to full capacity
	StartCap float64       // part of its capacity at the start
	Fall     time.Duration // a warming worker sent more than Factor times its capacity for this long collapses
	Factor   float64
}

// Admission is a worker's answer to a job when it arrives.
type Admission int

// The worker takes a job, rejects it for a full queue or because it drains, or is down.
const (
	Admitted Admission = iota
	RejectedFull
	RejectedDraining
	WorkerDown
)

// Warmth is how a job found its model.
type Warmth int

// The model was loaded, begins to load, or is being loaded.
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
	Load               time.Duration // time that loading the model takes
	Concurrency        int
	Order              bool
	Warmth             Warmth
	ConcurrentRequests int // calls of the model there when it came
	Data               any // the caller's

	done time.Time
}

// modelCopy is a copy of a model in a worker's memory.
type modelCopy struct {
	ready       time.Time // when its load ends
	used        time.Time
	concurrency int
	running     int
	held        int // jobs running or waiting for it
}

// WorkerModel is one emulated planner worker: concurrency, copies, loads, queue, slow start,
// draining and collapse. It has no clock, goroutine or I/O, so that it runs on sockets and in
// virtual time alike. Its methods are called in order of time.
type WorkerModel struct {
	cfg          WorkerConfig
	start        time.Time
	waiting      []*Job
	running      []*Job
	copies       map[uint64]*modelCopy
	loads        map[uint64]int // begun here, by model
	draining     bool
	collapsed    bool
	stalledUntil time.Time // it stands still until then
	slowdown     float64
	recentWork   []arrivedWork // while warming up
	usage        float64       // decaying mean of cores at work
	usageAt      time.Time
	unloads      unloads
}

// unloads counts copies that went: idle ones pushed out by a load, idle ones that dispatchers had
// unloaded, and those idle for long.
type unloads struct{ pushed, dropped, expired int }

// arrivedWork is work that was sent to a warming worker.
type arrivedWork struct {
	at   time.Time
	work time.Duration
}

// NewWorkerModel returns a worker without copies that started at start.
func NewWorkerModel(cfg WorkerConfig, start time.Time) *WorkerModel {
	return &WorkerModel{
		cfg: cfg, start: start, copies: map[uint64]*modelCopy{}, loads: map[uint64]int{}, slowdown: 1,
		usageAt: start,
	}
}

// Capacity returns the part of its full capacity that the worker has now.
func (b *WorkerModel) Capacity(now time.Time) float64 {
	age := now.Sub(b.start)
	if b.cfg.Warm <= 0 || age >= b.cfg.Warm {
		return 1
	}
	return b.cfg.StartCap + (1-b.cfg.StartCap)*float64(max(0, age))/float64(b.cfg.Warm)
}

// Drain makes the worker reject new jobs; those it holds go on.
func (b *WorkerModel) Drain() { b.draining = true }

// Draining reports whether the worker takes no new job.
func (b *WorkerModel) Draining() bool { return b.draining }

// Fallen reports whether the worker collapsed under load.
func (b *WorkerModel) Fallen() bool { return b.collapsed }

// Slow makes every job take factor times as long.
func (b *WorkerModel) Slow(factor float64) { b.slowdown = factor }

// Started returns when the worker's process started.
func (b *WorkerModel) Started() time.Time { return b.start }

// Stall makes no job progress until the given time.
func (b *WorkerModel) Stall(until time.Time) { b.stalledUntil = until }

// Arrive takes a job or says why not. A taken one comes back from Advance.
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
		wait := job.Load * time.Duration(1+loading/max(1, b.cfg.Loads))
		loaded = &modelCopy{ready: now.Add(wait), concurrency: max(1, job.Concurrency)}
		b.copies[job.Model] = loaded
		b.loads[job.Model]++
		job.Warmth = BeganLoad
	case loaded.ready.After(now):
		job.Warmth = AwaitedLoad
	}
	job.ConcurrentRequests = min(loaded.held, 30)
	loaded.held++
	loaded.used = now
	b.waiting = append(b.waiting, job)
	return Admitted
}

// overloaded records what is sent to a warming worker and applies the overload rule: work within Fall
// against Factor times the present capacity, with room for two calls of chance.
func (b *WorkerModel) overloaded(now time.Time, job *Job) bool {
	if b.cfg.Fall <= 0 || b.Capacity(now) >= 1 || job.Order {
		return false
	}
	b.recentWork = append(b.recentWork, arrivedWork{now, job.Work})
	for len(b.recentWork) > 0 && now.Sub(b.recentWork[0].at) > b.cfg.Fall {
		b.recentWork = b.recentWork[1:]
	}
	sum := time.Duration(0)
	for _, s := range b.recentWork {
		sum += s.work
	}
	room := b.cfg.Factor * b.Capacity(now) * float64(b.cfg.Cores) * float64(b.cfg.Fall)
	return float64(sum) > room+float64(2*job.Work)
}

// unloadExpired unloads copies that have lain idle for long enough.
func (b *WorkerModel) unloadExpired(now time.Time) {
	for m, loaded := range b.copies {
		if loaded.held == 0 && now.Sub(loaded.used) > b.cfg.Keep {
			delete(b.copies, m)
			b.unloads.expired++
		}
	}
}

// evictForLoad unloads the copy idle for longest where memory is full; false: all are at work.
func (b *WorkerModel) evictForLoad() bool {
	if len(b.copies) < b.cfg.Copies {
		return true
	}
	var oldest uint64
	var at *modelCopy
	for m, loaded := range b.copies {
		if loaded.held == 0 && (at == nil || loaded.used.Before(at.used) || loaded.used.Equal(at.used) && m < oldest) {
			oldest, at = m, loaded
		}
	}
	if at == nil {
		return false
	}
	delete(b.copies, oldest)
	b.unloads.pushed++
	return true
}

// Next returns when the state changes next; the zero time if nothing is under way.
func (b *WorkerModel) Next(now time.Time) (at time.Time) {
	soon := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, job := range b.running {
		soon(job.done)
	}
	for _, job := range b.waiting {
		if loaded := b.copies[job.Model]; loaded.ready.After(now) {
			soon(loaded.ready)
		}
	}
	if !at.IsZero() && at.Before(b.stalledUntil) {
		at = b.stalledUntil
	}
	return at
}

// Advance lets time pass until now and returns the jobs that have ended, in order.
func (b *WorkerModel) Advance(now time.Time) (ended []*Job) {
	if now.Before(b.stalledUntil) {
		return nil
	}
	for {
		// What ends first, frees its core at its own time.
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
			loaded.held--
			loaded.used = at
			ended = append(ended, job)
			return true
		})
		ended = append(ended, b.startJobs(at)...)
		if len(ended) == n && at.Equal(now) {
			return ended
		}
	}
}

// startJobs starts what can run; orders end as soon as the copy stands.
func (b *WorkerModel) startJobs(now time.Time) (ended []*Job) {
	b.waiting = slices.DeleteFunc(b.waiting, func(job *Job) bool {
		loaded := b.copies[job.Model]
		if loaded.ready.After(now) {
			return false
		}
		if job.Order {
			loaded.held--
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

// Report returns the load that the worker reports: calls waiting, and the use of its cores.
func (b *WorkerModel) Report(now time.Time) (queue int, util float64) {
	b.updateUsage(now)
	for _, job := range b.waiting {
		if !job.Order {
			queue++
		}
	}
	return queue, b.usage
}

// Loaded counts the copies of a model that stand.
func (b *WorkerModel) Loaded(now time.Time, model uint64) int {
	if loaded := b.copies[model]; loaded != nil && !loaded.ready.After(now) {
		return 1
	}
	return 0
}

// Loads returns how many loads of a model began here.
func (b *WorkerModel) Loads(model uint64) int { return b.loads[model] }

// Holds reports whether a copy of the model is loaded or being loaded.
func (b *WorkerModel) Holds(now time.Time, model uint64) bool {
	b.unloadExpired(now)
	return b.copies[model] != nil
}

// Unload drops a model's copy if it is idle.
func (b *WorkerModel) Unload(model uint64) {
	if loaded := b.copies[model]; loaded != nil && loaded.held == 0 {
		delete(b.copies, model)
		b.unloads.dropped++
	}
}
