package loganalysis

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// WorkerSecond holds the counts of one worker in one second.
type WorkerSecond struct {
	At          int64 // Unix second
	ID          string
	Attempts    int
	Full        int // attempts that it rejected because its queue was full
	Dispatchers int // that sent to it
}

// Overloaded returns every second of the workers that rejected the most attempts, at most limit
// workers.
func (l *FleetLog) Overloaded(limit int) []WorkerSecond {
	full := l.fullByWorker()
	workers := slices.SortedFunc(maps.Keys(full), func(a, b string) int {
		return cmp.Or(full[b]-full[a], strings.Compare(a, b))
	})
	var seconds []WorkerSecond
	for _, worker := range workers[:min(limit, len(workers))] {
		seconds = append(seconds, l.workerSeconds(worker)...)
	}
	return seconds
}

// fullByWorker returns the number of attempts that each worker rejected because its queue was full.
func (l *FleetLog) fullByWorker() Counts {
	full := Counts{}
	for _, a := range l.attempts {
		if a.result == resultFull && !a.isLoadOrder {
			full[a.worker]++
		}
	}
	return full
}

// workerSeconds returns every second in which an attempt at a worker ended.
func (l *FleetLog) workerSeconds(worker string) []WorkerSecond {
	bySecond := map[int64]*WorkerSecond{}
	dispatchers := map[int64]map[string]bool{}
	for _, a := range l.attempts {
		if a.worker != worker || a.isLoadOrder {
			continue
		}
		at := a.ended.Unix()
		if bySecond[at] == nil {
			bySecond[at] = &WorkerSecond{At: at, ID: worker}
			dispatchers[at] = map[string]bool{}
		}
		bySecond[at].Attempts++
		if a.result == resultFull {
			bySecond[at].Full++
		}
		dispatchers[at][a.dispatcher] = true
	}
	var seconds []WorkerSecond
	for _, at := range slices.Sorted(maps.Keys(bySecond)) {
		second := bySecond[at]
		second.Dispatchers = len(dispatchers[at])
		seconds = append(seconds, *second)
	}
	return seconds
}
