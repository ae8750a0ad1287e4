package outlier

import "fmt"

// Status is how a worker is treated.
type Status uint8

// Statuses.
const (
	StatusHealthy Status = iota // nothing against it
	StatusSuspect               // failing or slow, but not ejected
	StatusEjected               // gets no calls but trials
	StatusOnTrial               // ejected, and a trial was sent to it lately
)

// String returns the status as the console shows it.
func (s Status) String() string {
	switch s {
	case StatusHealthy:
		return "well"
	case StatusSuspect:
		return "suspect"
	case StatusEjected:
		return "left out"
	case StatusOnTrial:
		return "on trial"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// State is what is held of one executor, for operators.
type State struct {
	Status      Status
	Evidence    string
	Good, Bad   float64 // our own calls served lately, decaying, and the part of the latest that failed
	Word        Evidence
	WordAge     int64 // of the word; below 0: none
	TrialIn     int64 // until the next trial; 0 where none is due
	Unreachable bool
}

// State tells what is held of b; pace as at Mark.
func (j *Detector) State(now int64, b *Stats, z int, pace float64) State {
	x := State{Status: StatusHealthy, Evidence: "nothing against it", Good: b.seen.lately(now, j.forget()), Bad: j.FailureRate(now, b), Word: b.word, WordAge: -1, Unreachable: b.cold}
	if b.wordAt > 0 {
		x.WordAge = now - b.wordAt
	}
	switch {
	case j.ZonePartitioned(z):
		x.Status, x.Evidence, x.TrialIn = StatusEjected, fmt.Sprintf("zone %d cannot be reached", z), max(0, j.zone(z).next-now)
	case j.Ejected(b, z):
		x.Status, x.Evidence, x.TrialIn = StatusEjected, fmt.Sprintf("%d%% of our late calls failed", b.percent()), max(0, b.until-now)
		if b.cold {
			x.Evidence = "it cannot be reached from here"
		}
	case j.ByWords(now, b):
		x.Status, x.Evidence = StatusEjected, fmt.Sprintf("%d of %d observers were not served", b.word.Bad, b.word.observers())
		x.TrialIn = max(0, b.trialed+wordAims*j.aim-now)
	case j.FailureRate(now, b) > failLimit/2:
		x.Status, x.Evidence = StatusSuspect, fmt.Sprintf("%d%% of our late calls failed", b.percent())
	case pace >= slowPace:
		x.Status, x.Evidence = StatusSuspect, fmt.Sprintf("calls take %.1f times as long as elsewhere", pace)
	}
	if x.Status == StatusEjected && b.trialed > 0 && now-b.trialed < j.aim {
		x.Status = StatusOnTrial
	}
	return x
}
