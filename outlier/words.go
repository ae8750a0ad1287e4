package outlier

import (
	"cmp"
	"math"
	"slices"
)

// This file owns what observers tell each other of executors: evidence, not opinions. Each observer tells what came of its own
// calls at an executor lately; whoever pools that counts each observer once, whatever its traffic, so that none alone, behind, cut
// off or wrong, leaves an executor out for others or brings one back. What is told of the pool is again counts, and every
// listener judges for itself: by the lower end of an interval, never against answers of its own, and for a bounded part of
// the capacity.

const (
	markMost = 15  // of calls, in a mark; and of observers, in a word
	voteBad  = 6   // from so many fifteenths of failures on an observer counts as not served: its latest call there failed
	paceUnit = 4   // a pace is told in quarters of the mean time
	slowPace = 2.0 // from so many times the mean on an executor's pace is told
	wordZ    = 1.5 // deviations of the interval: three of three observers, five of six, seven of nine are enough; two of two
	// are not, for where one call in a hundred fails by chance that comes about every some minutes
	wordLimit = 0.5 // above it a call is more likely spoilt than served: what a wrong ejection costs, another's load, is less
	wordAims  = 4   // shortest aims after which a failure is no vote any more, and between two trials of what words leave out
	fadeAims  = 8   // shortest aims after the last word against it in which a verdict by others fades: two trials and their words
	doubtRate = 3   // an observer that finds so many times more executors silent than it hears doubts itself
	capPart   = 4   // at most one in so many executors, by weight, is left out by words
)

// Mark is what one observer tells of an executor.
type Mark struct {
	Good uint8 // calls that it served lately, 15 at the most
	Bad  uint8 // calls in a row that failed since the last one served, 15 at the most; 0 once the last failure is some time ago
	Pace uint8 // the time its calls took there, in quarters of the mean of all; 0: not slow
}

// Evidence is what the observers of a pool tell of an executor, each counted once: those that it served, and those whose latest
// call there failed.
type Evidence struct {
	Good, Bad uint8
	Pace      uint8 // the middle of those that told one, if they are two at least
}

// seen is what we saw of an executor ourselves.
type seen struct {
	good   float64 // calls served, decaying
	at     int64
	run    int   // calls that failed since the last one served
	failed int64 // when the last one did
	odd    int64 // when something last went wrong there that may not be its fault; 0: never
}

// served counts one call more; forget is the time constant.
func (s *seen) served(now, forget int64) {
	s.good, s.at, s.run = s.lately(now, forget)+1, now, 0
}

func (s *seen) lately(now, forget int64) float64 {
	return s.good * math.Exp(-float64(max(0, now-s.at))/float64(forget))
}

// forget is the time constant of evidence.
func (j *Detector) forget() int64 { return longest * j.aim }

// Mark is what we have to tell of b, whose calls take pace times as long as the mean: evidence against it, nothing at all
// where it answered with what may not be its fault, so that the answer does not count for it, or where a verdict by words
// stands, that it has served us since. false: nothing.
func (j *Detector) Mark(now int64, b *Stats, pace float64) (m Mark, ok bool) {
	odd := b.seen.odd > b.seen.at && now-b.seen.odd < wordAims*j.aim
	if late := now-b.seen.failed >= wordAims*j.aim || b.seen.run == 0; late && !odd && pace < slowPace && !j.EjectedByGossip(now, b) {
		return m, false
	}
	if !odd && now-b.seen.at < wordAims*j.aim && (!j.EjectedByGossip(now, b) || b.seen.at >= b.since) {
		m.Good = uint8(min(math.Round(b.seen.lately(now, j.forget())), markMost))
	}
	if now-b.seen.failed < wordAims*j.aim {
		m.Bad = uint8(min(b.seen.run, markMost))
	}
	if pace >= slowPace {
		m.Pace = uint8(min(pace*paceUnit, 255))
	}
	return m, m.Bad > 0 || m.Pace > 0 || odd || j.EjectedByGossip(now, b) && m.Good > 0
}

// Doubts tells whether one that hears so many executors and finds so many silent must take itself to be the cause: its word
// weighs nothing then.
func Doubts(heard, silent int) bool { return silent > 1 && silent >= doubtRate*heard }

// Silent tells whether so many observers that find an executor silent are enough for all: one alone may be cut off, or have
// stood still. Of two dispatchers the other one is all there is.
func Silent(observers, dispatchers int) bool { return observers >= max(1, min(2, dispatchers-1)) }

// Merge makes a word of the marks of several observers, one each; heard: observers that told no mark and had an answer.
func Merge(marks []Mark, heard int) (w Evidence) {
	w.Good = uint8(min(heard, markMost))
	var paces []uint8
	for _, m := range marks {
		switch {
		case m.Bad > 0:
			w.Bad = min(w.Bad+1, markMost)
		case m.Good > 0 || m.Pace > 0:
			w.Good = min(w.Good+1, markMost)
		}
		if m.Pace > 0 {
			paces = append(paces, m.Pace)
		} else if m.Good > 0 {
			paces = append(paces, paceUnit) // found it as fast as any
		}
	}
	if slices.Sort(paces); len(paces) > 1 {
		if w.Pace = paces[(len(paces)-1)/2]; w.Pace < slowPace*paceUnit {
			w.Pace = 0
		}
	}
	return w
}

// Says tells whether a word has anything to tell; stands: a verdict by words stands.
func (w Evidence) Says(stands bool) bool {
	return w.Bad > 1 || w.Pace > 0 || stands && w.observers() > 0
}

// Slow is how many times longer calls take there; 0: not told.
func (w Evidence) Slow() float64 { return float64(w.Pace) / paceUnit }

// Share is the lower end of the interval (Wilson's, of one and a half deviations) of the part of observers that found the
// executor bad.
func (w Evidence) Share() float64 {
	n := float64(w.Good) + float64(w.Bad)
	if n == 0 {
		return 0
	}
	p, z2 := float64(w.Bad)/n, wordZ*wordZ
	return max(0, (p+z2/(2*n)-wordZ*math.Sqrt(p*(1-p)/n+z2/(4*n*n)))/(1+z2/n))
}

// GossipEvidence is a word of a digest about one executor.
type GossipEvidence struct {
	Box    *Stats
	Weight float64 // of the executor's capacity
	Word   Evidence
}

// ApplyGossip takes the words of a digest; all: the weight of all executors. Of those that words would leave out, the worst are,
// up to a quarter of the capacity with those of digests before that still stand. A verdict that stands is renewed by any word
// against it, for then one executor is tried by one observer at a time, and ends with the first word that two observers or
// more were served, and more than not. The events are in the order of told.
func (j *Detector) ApplyGossip(now int64, told []GossipEvidence, all float64) []Event {
	order := make([]int, len(told))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(told[b].Word.Share(), told[a].Word.Share()) })
	events := make([]Event, len(told))
	for i, t := range told {
		b, stood := t.Box, j.EjectedByGossip(now, t.Box)
		b.word, b.wordAt = t.Word, now
		switch {
		case stood && t.Word.Good > max(1, t.Word.Bad):
			b.boundAt = 0
			events[i] = Event{Kind: EventRestoredByGossip, Agreeing: int(t.Word.Good), Observers: t.Word.observers()}
		case stood && t.Word.Bad > 0:
			b.boundAt = now
		}
	}
	left := all / capPart
	j.bound = slices.DeleteFunc(j.bound, func(t GossipEvidence) bool { return !j.EjectedByGossip(now, t.Box) })
	for _, t := range j.bound {
		left -= t.Weight
	}
	for _, i := range order {
		b, word := told[i].Box, told[i].Word
		if !j.EjectedByGossip(now, b) && word.Bad > 1 && word.Share() > wordLimit && left >= told[i].Weight {
			left -= told[i].Weight
			b.boundAt, b.since = now, now
			j.bound = append(j.bound, told[i])
			events[i] = Event{Kind: EventEjectedByGossip, Agreeing: int(word.Bad), Observers: word.observers()}
		}
	}
	return events
}

func (w Evidence) observers() int { return int(w.Good) + int(w.Bad) }

// EjectedByGossip tells whether words of others would leave b out.
func (j *Detector) EjectedByGossip(now int64, b *Stats) bool {
	return b.boundAt > 0 && now-b.boundAt < fadeAims*j.aim
}

// ByWords tells whether b is left out for what others saw: until the words fade, and not against a call that it served us at
// most one shortest aim before.
func (j *Detector) ByWords(now int64, b *Stats) bool {
	return j.EjectedByGossip(now, b) && (b.seen.good == 0 || b.seen.at < b.since-j.aim || b.seen.run > 0)
}
