package lab

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

// PlannerFigures returns the figures of the emulated planning site: the call classes of the
// platform with a fifth of their work, so that one machine can run many workers.
func PlannerFigures() *Figures {
	return &Figures{
		Classes: []ClassFigures{
			{
				Name: "path-check", Share: 0.41, LatencyObjective: 400 * time.Millisecond,
				ClientTimeout: 5 * time.Second, PriorityWeight: 1, Work: 14 * time.Millisecond,
			},
			{
				Name: "route-price", Share: 0.32, LatencyObjective: 1500 * time.Millisecond,
				ClientTimeout: 5 * time.Second, PriorityWeight: 1, Work: 22 * time.Millisecond,
			},
			{
				Name: "path-book", Share: 0.27,
				LatencyObjective: 750 * time.Millisecond, ClientTimeout: 4 * time.Second,
				PriorityWeight: 5, Work: 22 * time.Millisecond, NotIdempotent: true,
			},
		},
		Load: 120 * time.Millisecond, Concurrency: 4,
		Worker: WorkerConfig{
			Cores: 4, Queue: 64, MaxCopies: 64, MaxLoads: 4, IdleTimeout: 10 * time.Second,
			SlowStart: 8 * time.Second, StartCapacity: 0.2, CollapseWindow: 3 * time.Second, OverloadFactor: 3,
		},
	}
}

// Figures are the parameters of the emulated site that workers and clients share.
type Figures struct {
	Classes     []ClassFigures
	Load        time.Duration // mean time to load a model
	Concurrency int
	Worker      WorkerConfig
}

// ClassFigures are the parameters of one class of calls.
type ClassFigures struct {
	Name                            string
	Share                           float64 // of all calls
	LatencyObjective, ClientTimeout time.Duration
	PriorityWeight                  float64
	Work                            time.Duration // mean work of a call
	NotIdempotent                   bool          // it may not run twice
}

// Work returns the core time of a call, derived from its id, so that it is the same at every worker
// and in every arm of an experiment.
func (f *Figures) Work(class int, id string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	x := h.Sum64()
	u := (float64(x>>11) + 0.5) / (1 << 53)
	// Between half and twice the mean, uniformly on a log scale; the mean of that factor is 1.082.
	return time.Duration(float64(f.Classes[class].Work) / 1.082 * math.Exp2(2*u-1))
}
