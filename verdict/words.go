package verdict

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file owns what observers tell each other of executors: evidence, not opinions. Each observer tells counts of its own
// calls at an executor; whoever pools them counts each observer once, whatever its traffic, so that none alone, behind, cut
// off or wrong, leaves an executor out for others or brings one back. What is told of the pool is again counts, and every
// listener judges for itself: by the lower end of an interval, never against answers of its own, and for a bounded part of
// the capacity.

const (
	markMost  = 15  // of calls, in a mark; and of observers, in a word
	paceUnit  = 4   // a pace is told in quarters of the mean time
	slowPace  = 2.0 // from so many times the mean on an executor's pace is told
	wordZ     = 1.0 // deviations of the interval: two of two observers, four of five, seven of ten are enough
	wordLimit = 0.5 // above it a call is more likely spoilt than served: what a wrong ejection costs, another's load, is less
	wordAims  = 4   // shortest aims after its last word that a verdict by others fades to trial: two terms of a hub
	doubtRate = 3   // an observer that finds so many times more executors silent than it hears doubts itself
	capPart   = 4   // at most one in so many executors, by weight, is left out by words
)

// Mark is what one observer tells of its own calls at an executor lately, each count at most 15.
type Mark struct {
	Good, Bad uint8
	Pace      uint8 // the time its calls took there, in quarters of the mean of all; 0: not slow
}

// Word is what the observers of a pool tell of an executor, each counted once: as good if it was served at least as often
// as not, else as bad.
type Word struct {
	Good, Bad uint8
	Pace      uint8 // the middle of those that told one, if they are two at least
}

// seen is what we saw of an executor ourselves, decaying.
type seen struct {
	good, bad float64
	at        int64
}

// add counts one call more; forget is the time constant.
func (s *seen) add(now, forget int64, good bool) {
	s.fade(now, forget)
	if good {
		s.good++
	} else {
		s.bad++
	}
}

func (s *seen) fade(now, forget int64) {
	if now > s.at {
		f := math.Exp(-float64(now-s.at) / float64(forget))
		s.good, s.bad, s.at = s.good*f, s.bad*f, now
	}
}

// forget is the time constant of evidence.
func (j *Judge) forget() int64 { return longest * j.aim }

// Mark is what we have to tell of b, whose calls take pace times as long as the mean: evidence against it, or of others'
// evidence against it, what ours is. false: nothing.
func (j *Judge) Mark(now int64, b *Box, pace float64) (m Mark, ok bool) {
	s := b.seen
	s.fade(now, j.forget())
	m = Mark{Good: uint8(min(math.Round(s.good), markMost)), Bad: uint8(min(math.Round(s.bad), markMost))}
	if pace >= slowPace {
		m.Pace = uint8(min(pace*paceUnit, 255))
	}
	asked := b.wordAt > 0 && now-b.wordAt < wordAims*j.aim
	return m, m.Bad > 0 && m.Bad >= m.Good || m.Pace > 0 || asked && m.Good+m.Bad > 0
}

// Doubts tells whether one that hears so many executors and finds so many silent must take itself to be the cause: its word
// weighs nothing then.
func Doubts(heard, silent int) bool { return silent > 1 && silent >= doubtRate*heard }

// Pool makes a word of the marks of several observers, one each.
func Pool(marks []Mark) (w Word) {
	var paces []uint8
	for _, m := range marks {
		switch {
		case m.Bad > m.Good:
			w.Bad = min(w.Bad+1, markMost)
		case m.Good > 0:
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

// Says tells whether a word has anything to tell.
func (w Word) Says() bool { return w.Bad > 1 || w.Pace > 0 }

// Slow is how many times longer calls take there; 0: not told.
func (w Word) Slow() float64 { return float64(w.Pace) / paceUnit }

// Share is the lower end of the interval (Wilson's, of one deviation) of the part of observers that found the executor bad.
func (w Word) Share() float64 {
	n := float64(w.Good) + float64(w.Bad)
	if n == 0 {
		return 0
	}
	p, z2 := float64(w.Bad)/n, wordZ*wordZ
	return max(0, (p+z2/(2*n)-wordZ*math.Sqrt(p*(1-p)/n+z2/(4*n*n)))/(1+z2/n))
}

// Told is a word of a digest about one executor.
type Told struct {
	Box    *Box
	Weight float64 // of the executor's capacity
	Word   Word
}

// Words takes the words of a digest; all: the weight of all executors. Of those that words would leave out, the worst
// are, up to a quarter of the capacity with those of digests before that still stand. The texts are for the log, in the order of told; empty where nothing has changed.
func (j *Judge) Words(now int64, told []Told, all float64) (news []string) {
	order := make([]int, len(told))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(told[b].Word.Share(), told[a].Word.Share()) })
	left, was := all/capPart, make([]bool, len(told))
	for i, t := range told {
		was[i] = j.ByWords(now, t.Box)
		t.Box.word, t.Box.wordAt, t.Box.bound = t.Word, now, false
	}
	j.bound = slices.DeleteFunc(j.bound, func(t Told) bool { return !t.Box.bound || now-t.Box.wordAt >= wordAims*j.aim })
	for _, t := range j.bound { // words of digests before that still stand
		left -= t.Weight
	}
	news = make([]string, len(told))
	for _, i := range order {
		b, word := told[i].Box, told[i].Word
		if word.Bad > 1 && word.Share() > wordLimit && left >= told[i].Weight {
			left -= told[i].Weight
			b.bound = true
			j.bound = append(j.bound, told[i])
		}
		if !was[i] && j.ByWords(now, b) {
			news[i] = fmt.Sprintf("left out by words: %d of %d observers were not served", word.Bad, int(word.Bad)+int(word.Good))
		}
	}
	return news
}

// ByWords tells whether b is left out for what others saw: until the word fades, and not against what we saw ourselves.
func (j *Judge) ByWords(now int64, b *Box) bool {
	if !b.bound || now-b.wordAt >= wordAims*j.aim {
		return false
	}
	s := b.seen
	s.fade(now, j.forget())
	return s.good < 0.5 || s.bad > s.good
}

// State is what is held of one executor, for operators.
type State struct {
	Verdict     string // well, suspect, left out, on trial
	Evidence    string
	Good, Bad   float64 // our own calls lately, decaying
	Word        Word
	WordAge     int64 // of the word; below 0: none
	TrialIn     int64 // until the next trial; 0 where none is due
	Unreachable bool
}

// State tells what is held of b; pace as at Mark.
func (j *Judge) State(now int64, b *Box, z int, pace float64) State {
	s := b.seen
	s.fade(now, j.forget())
	x := State{Verdict: "well", Evidence: "nothing against it", Good: s.good, Bad: s.bad, Word: b.word, WordAge: -1, Unreachable: b.cold}
	if b.wordAt > 0 {
		x.WordAge = now - b.wordAt
	}
	switch {
	case j.Cut(z):
		x.Verdict, x.Evidence, x.TrialIn = "left out", fmt.Sprintf("zone %d cannot be reached", z), max(0, j.zone(z).next-now)
	case j.Out(b, z):
		x.Verdict, x.Evidence, x.TrialIn = "left out", fmt.Sprintf("%d%% of our late calls failed", b.percent()), max(0, b.until-now)
		if b.cold {
			x.Evidence = "it cannot be reached from here"
		}
	case j.ByWords(now, b):
		x.Verdict, x.Evidence = "left out", fmt.Sprintf("%d of %d observers were not served", b.word.Bad, int(b.word.Bad)+int(b.word.Good))
		x.TrialIn = max(0, b.trialed+longest*j.aim-now)
	case j.Failures(now, b) > failLimit/2:
		x.Verdict, x.Evidence = "suspect", fmt.Sprintf("%d%% of our late calls failed", b.percent())
	case pace >= slowPace:
		x.Verdict, x.Evidence = "suspect", fmt.Sprintf("calls take %.1f times as long as elsewhere", pace)
	}
	if x.Verdict == "left out" && b.trialed > 0 && now-b.trialed < j.aim {
		x.Verdict = "on trial"
	}
	return x
}
