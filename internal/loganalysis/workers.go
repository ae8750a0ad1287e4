package loganalysis

import (
	"cmp"
	"slices"
	"time"
)

// peakWindow is the length of the busiest window of a worker.
const peakWindow = 100 * time.Millisecond

// Worker holds the totals of one worker over all dispatchers.
type Worker struct {
	ID            string
	Results       Counts        // of attempts
	LoadOrders    Counts        // results of load orders
	Peak          int           // most attempts and load orders started within one peakWindow
	Dispatchers   int           // that sent to it
	FailedFor     time.Duration // from the end of the first failed attempt to that of the last
	Ejections     int           // by dispatchers
	EjectionDelay time.Duration // from the first failure to the median ejection
}

// workerStats collects the events of one worker.
type workerStats struct {
	Worker
	dispatchers               map[string]bool
	started                   []time.Time
	firstFailure, lastFailure time.Time
}

// Workers returns the totals of each worker, those with the most failures first.
func (l *FleetLog) Workers() []Worker {
	stats := map[string]*workerStats{}
	for _, a := range l.attempts {
		s := stats[a.worker]
		if s == nil {
			s = &workerStats{
				Worker:      Worker{ID: a.worker, Results: Counts{}, LoadOrders: Counts{}},
				dispatchers: map[string]bool{},
			}
			stats[a.worker] = s
		}
		s.add(a)
	}
	var workers []Worker
	for _, s := range stats {
		workers = append(workers, s.summarize(l.ejections[s.ID]))
	}
	slices.SortFunc(workers, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(b.Results.failures(), a.Results.failures()), cmp.Compare(a.ID, b.ID))
	})
	return workers
}

func (s *workerStats) add(a attempt) {
	s.started = append(s.started, a.started)
	s.dispatchers[a.dispatcher] = true
	if a.isLoadOrder {
		s.LoadOrders[a.result]++
		return
	}
	s.Results[a.result]++
	if !isFailure(a.result) {
		return
	}
	if s.firstFailure.IsZero() || a.ended.Before(s.firstFailure) {
		s.firstFailure = a.ended
	}
	if a.ended.After(s.lastFailure) {
		s.lastFailure = a.ended
	}
}

// summarize returns the totals of the worker, given the times at which it was ejected.
func (s *workerStats) summarize(ejections []time.Time) Worker {
	slices.SortFunc(s.started, time.Time.Compare)
	s.Peak = maxWithin(s.started, peakWindow)
	s.Dispatchers = len(s.dispatchers)
	s.FailedFor = s.lastFailure.Sub(s.firstFailure)
	if len(ejections) > 0 && !s.firstFailure.IsZero() {
		sorted := slices.SortedFunc(slices.Values(ejections), time.Time.Compare)
		s.Ejections = len(sorted)
		s.EjectionDelay = sorted[len(sorted)/2].Sub(s.firstFailure)
	}
	return s.Worker
}

// maxWithin returns the largest number of times, which are sorted, that lie within a window.
func maxWithin(times []time.Time, window time.Duration) (most int) {
	first := 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
