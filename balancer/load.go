package balancer

// This file owns how heavy each worker counts: calls in flight, reports, pace, and failed calls that stay
// for a while.

import (
	"math"
	"slices"

	"oakthread/outlier"
)

// load is our requests in flight plus one, with those of other dispatchers where reports or peers tell them,
// over the part of its capacity that a cold worker has, heavier for one whose calls fail and, where one of
// many dispatchers has too few calls there to see its queue, for one that takes longer than the others.
func (d *Balancer) load(now int64, w *worker) float64 {
	l := (d.inflight(now, w) + 1) / (d.grown(now, w) * max(w.Weight, 0.1))
	l *= 1 + (1-1/d.many())*d.drag(now, w)
	return l * (1 + faultWeight*d.judge.FailureRate(now, &w.health))
}

func (d *Balancer) inflight(now int64, w *worker) float64 {
	n := float64(len(w.open))
	for _, g := range w.ghosts {
		if g.until > now {
			n++
		}
	}
	d.freshen(w)
	// What was seen there fades to what is seen elsewhere: one not heard from lately counts at the middle.
	return n + d.others + fading(w.others-d.others, now-w.othersAt, d.tau())
}

// grown is the part of its capacity that a worker has: 1, or what the slowest told growth gives a cold one.
func (d *Balancer) grown(now int64, w *worker) float64 {
	if !d.isCold(now, w) {
		return 1
	}
	c := min(max(d.set.SlowStartCapacity, 0.05), 1)
	return c + (1-c)*float64(max(0, now-w.Start))/float64(d.set.SlowStartWindow)
}

// report reads a load report: what a worker holds beyond our own requests; where only what waits there is
// told, many dispatchers go by that, for few of their own calls are there. A report never decides alone.
func (d *Balancer) report(now int64, w *worker, rep []float64) {
	i := d.set.InflightField - 1
	if i < 0 && d.many() > 1 {
		i = d.set.QueueField - 1
	}
	if i < 0 || i >= len(rep) || !(rep[i] >= 0) || math.IsInf(rep[i], 0) {
		return
	}
	n := max(0, rep[i]-float64(len(w.open)))
	if d.freshen(w); float64(now-w.othersAt) > d.tau() {
		w.others = n
	}
	w.others += seenStep * (n - w.others)
	w.othersAt = now
	// The middle, each worker once: by answers, the crowded ones would count most, and none would look heavy.
	d.sorted = d.sorted[:0]
	for _, x := range d.some() {
		if d.freshen(x); x.othersAt > 0 && float64(now-x.othersAt) < d.tau() {
			d.sorted = append(d.sorted, x.others)
		}
	}
	d.others = middle(d.sorted)
}

// tau is for how long what was learned holds, more or less: as long as the longest ejection.
func (d *Balancer) tau() float64 { return float64(outlier.Longest * d.minAim) }

func (d *Balancer) fade(now int64) float64 { return math.Exp(-float64(now-d.answersAt) / d.tau()) }

// touch takes that a call, an answer or a message concerns w, where it is listed.
func (d *Balancer) touch(now int64, w *worker) {
	if !w.listed {
		return
	}
	if w.touchedAt == 0 {
		d.touched = append(d.touched, w)
	}
	w.touchedAt = max(now, 1)
	d.holds(w)
}

// use takes that a call of ours is out at w, or has just ended there.
func (d *Balancer) use(now int64, w *worker) {
	d.touch(now, w)
	if !w.used {
		w.used, d.used = true, append(d.used, w)
	}
}

// inUse lists the workers, listed or not, with calls of ours out or failed calls that count as out.
func (d *Balancer) inUse(now int64) []*worker {
	d.used = slices.DeleteFunc(d.used, func(w *worker) bool {
		w.used = len(w.open) > 0 || slices.ContainsFunc(w.ghosts, func(g ghost) bool { return g.until > now })
		return !w.used
	})
	return d.used
}

// active lists the workers of which there may be something to tell: of a short list all; of a long one those touched lately
// or out, so that a round costs what was done and not what is listed.
func (d *Balancer) active() []*worker {
	if len(d.list) <= d.set.FullScanLimit {
		return d.list
	}
	return d.touched
}

// isActive tells whether active lists w.
func (d *Balancer) isActive(w *worker) bool {
	if len(d.list) <= d.set.FullScanLimit {
		return w.inList
	}
	return w.touchedAt != 0
}

// settle leaves out of touched what is not listed, and what there has been nothing to tell of for some time.
func (d *Balancer) settle(now int64) {
	d.touched = slices.DeleteFunc(d.touched, func(w *worker) bool {
		_, says := d.judge.Mark(now, &w.health, d.slow(now, w))
		if w.listed && (now-w.touchedAt < heardAims*d.minAim || len(w.open) > 0 || d.out(w) || says) {
			return false
		}
		if w.touchedAt = 0; len(d.list) > d.set.FullScanLimit { // all of it is too old to count
			w.tally = tally{void: d.reports.texts}
		}
		return true
	})
}

// freshen has w know that a whole digest has told nothing of it since: it is idle for others. In a long list that is found when it is
// asked for, and not set at all that the digest leaves out.
func (d *Balancer) freshen(w *worker) {
	if w.othersAt < d.wholeAt {
		w.others, w.othersAt = 0, d.wholeAt
	}
}

// drag is how much heavier w counts for its pace, by our own calls or by what others tell of theirs, whichever is more.
func (d *Balancer) drag(now int64, w *worker) float64 {
	own := fading(w.pace*w.pace-1, now-w.paceAt, float64(d.keep()))
	return max(own, fading(max(0, w.told*w.told-1), now-w.toldAt, d.tau()))
}

// slow is how many times longer calls at w's loaded copies take than at all, fading to 1.
func (d *Balancer) slow(now int64, w *worker) float64 {
	return 1 + fading(w.pace-1, now-w.paceAt, float64(d.keep()))
}
