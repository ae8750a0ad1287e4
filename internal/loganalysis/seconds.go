package loganalysis

import (
	"maps"
	"slices"
)

// numberedAttempts is the number of attempts of a call that are counted separately; later ones are
// counted together with the last.
const numberedAttempts = 5

// Second holds the counts of the whole fleet in one second.
type Second struct {
	At          int64 // Unix second
	Attempts    int
	Full        int                   // attempts that a worker rejected because its queue was full
	ByNumber    [numberedAttempts]int // attempts by their number in the call
	Ejections   int                   // in force at its end, over all dispatchers
	Partitioned int                   // dispatchers that consider a zone unreachable at its end
}

// Seconds returns every second in which an event happened.
func (l *FleetLog) Seconds() []Second {
	bySecond := map[int64]*Second{}
	for at := range l.seconds {
		bySecond[at] = &Second{At: at}
	}
	for _, a := range l.attempts {
		if !a.isLoadOrder {
			bySecond[a.ended.Unix()].add(a)
		}
	}
	slices.SortStableFunc(l.changes, func(a, b ejectionChange) int { return a.at.Compare(b.at) })
	inForce := newEjectionState()
	next := 0
	var seconds []Second
	for _, at := range slices.Sorted(maps.Keys(bySecond)) {
		for next < len(l.changes) && l.changes[next].at.Unix() <= at {
			inForce.apply(l.changes[next])
			next++
		}
		second := bySecond[at]
		second.Ejections, second.Partitioned = len(inForce.ejections), len(inForce.partitioned)
		seconds = append(seconds, *second)
	}
	return seconds
}

func (s *Second) add(a attempt) {
	s.Attempts++
	s.ByNumber[min(a.number, numberedAttempts-1)]++
	if a.result == resultFull {
		s.Full++
	}
}

// ejection is a worker that a dispatcher has ejected.
type ejection struct{ dispatcher, worker string }

// ejectionState holds the ejections in force at a time.
type ejectionState struct {
	ejections   map[ejection]bool // true if the worker was ejected because it cannot be reached
	partitioned map[string]bool   // dispatchers that consider a zone unreachable
}

func newEjectionState() *ejectionState {
	return &ejectionState{ejections: map[ejection]bool{}, partitioned: map[string]bool{}}
}

func (s *ejectionState) apply(change ejectionChange) {
	key := ejection{change.dispatcher, change.worker}
	if change.ejected {
		s.ejections[key] = change.unreachable
		if change.zone {
			s.partitioned[change.dispatcher] = true
		}
		return
	}
	if change.zone { // the zone can be reached again, and with it all workers that could not be
		delete(s.partitioned, change.dispatcher)
		maps.DeleteFunc(s.ejections, func(e ejection, unreachable bool) bool {
			return e.dispatcher == change.dispatcher && unreachable
		})
	}
	delete(s.ejections, key)
}
