package loganalysis

import (
	"slices"
	"time"
)

// loadedModel is a function's model loaded on a worker.
type loadedModel struct{ function, worker string }

// modelUses are the times at which attempts found a model loaded.
type modelUses struct {
	times   map[loadedModel][]time.Time // sorted
	workers map[string][]string         // by function
}

// Loads returns the number of loads that calls have started, and of those that were unnecessary:
// another worker had answered a call of the function from a loaded model within retention before.
// retention is the time that an idle model stays loaded.
func (l *FleetLog) Loads(retention time.Duration) (started, unnecessary int) {
	uses := l.modelUses()
	for _, a := range l.attempts {
		if !a.loadedModel {
			continue
		}
		started++
		if uses.loadedElsewhere(a, retention) {
			unnecessary++
		}
	}
	return started, unnecessary
}

func (l *FleetLog) modelUses() modelUses {
	uses := modelUses{map[loadedModel][]time.Time{}, map[string][]string{}}
	for _, a := range l.attempts {
		if !a.hitLoadedModel {
			continue
		}
		model := loadedModel{a.function, a.worker}
		if uses.times[model] == nil {
			uses.workers[a.function] = append(uses.workers[a.function], a.worker)
		}
		uses.times[model] = append(uses.times[model], a.ended)
	}
	for _, times := range uses.times {
		slices.SortFunc(times, time.Time.Compare)
	}
	return uses
}

// loadedElsewhere reports whether another worker than that of a answered a call of the function
// from a loaded model within retention before a started.
func (u *modelUses) loadedElsewhere(a attempt, retention time.Duration) bool {
	for _, worker := range u.workers[a.function] {
		times := u.times[loadedModel{a.function, worker}]
		i, _ := slices.BinarySearchFunc(times, a.started, time.Time.Compare)
		if worker != a.worker && i > 0 && a.started.Sub(times[i-1]) < retention {
			return true
		}
	}
	return false
}
