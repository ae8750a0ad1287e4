package outlier

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	ms  = int64(1e6)
	aim = 240 * ms
)

// Guards the judgement of few dispatchers: a refused connection puts out at once, two successes bring back, time out grows.
func TestFewGoByTheirOwnSamples(t *testing.T) {
	j, b := New(aim, false), &Stats{}
	assert.Empty(t, j.RecordFailure(0, b, Failure), "one failure is no verdict")
	assert.Contains(t, j.RecordFailure(ms, b, Failure).String(), "ejected: 63%")
	assert.False(t, j.TrialDue(100*ms, b, 0))
	assert.True(t, j.TrialDue(ms+aim, b, 0), "a trial after the shortest aim")
	j.RecordFailure(ms+aim, b, Failure)
	assert.False(t, j.TrialDue(ms+2*aim, b, 0), "and after two, once that failed")
	assert.True(t, j.TrialDue(ms+3*aim, b, 0))
	assert.Empty(t, j.RecordResponse(ms+3*aim, b, 0), "an answer alone proves nothing here")
	for j.Ejected(b, 0) {
		j.RecordSuccess(ms+3*aim, b)
	}
	assert.Less(t, j.FailureRate(ms+3*aim, b), failHealed)
	assert.Contains(t, j.RecordUnreachable(ms+4*aim, ms+4*aim, b, 0).String(), "ejected")
	assert.False(t, j.ZonePartitioned(0))
}

// Guards against a cut that each dispatcher learns box by box: three in a row put the zone out, one trial at a time goes
// there, at a pace that slows, and one answer brings all back but what was out before.
func TestZoneIsCutAndHeals(t *testing.T) {
	j := New(aim, true)
	var boxes [8]Stats
	dead := &boxes[7]
	j.RecordUnreachable(0, 0, dead, 1)
	j.RecordResponse(10*ms, &boxes[0], 1)
	for i, now := range []int64{1000 * ms, 1010 * ms, 1020 * ms} {
		assert.False(t, j.ZonePartitioned(1))
		j.RecordUnreachable(now, now-250*ms, &boxes[i], 1)
	}
	assert.True(t, j.ZonePartitioned(1))
	assert.False(t, j.ZonePartitioned(0), "the other zone is as it was")
	trials, tried := 0, map[int]bool{}
	for now := 1020 * ms; now < 7000*ms; now += 10 * ms {
		for i := range boxes {
			if j.TrialDue(now, &boxes[i], 1) {
				j.TrialStarted(now, &boxes[i], 1)
				j.RecordUnreachable(now+250*ms, now, &boxes[i], 1)
				trials++
				tried[i] = true
				break
			}
		}
	}
	assert.LessOrEqual(t, trials, 7, "in six seconds")
	assert.GreaterOrEqual(t, len(tried), 4, "of executors in turn")
	assert.Contains(t, j.RecordResponse(7000*ms, &boxes[4], 1).String(), "zone 1")
	for i := range boxes[:7] {
		assert.False(t, j.Ejected(&boxes[i], 1), i)
		assert.Zero(t, j.FailureRate(7000*ms, &boxes[i]))
	}
	assert.Empty(t, j.RecordUnreachable(7100*ms, 6900*ms, &boxes[5], 1), "what was sent before the cut ended says nothing")
	assert.False(t, j.Ejected(&boxes[5], 1))
}

// Guards against taking single deaths for a cut: what others answer meanwhile keeps the zone, the dead one is out alone.
func TestDeathsAmongAnswersAreNoCut(t *testing.T) {
	j := New(aim, true)
	boxes := make([]Stats, 30)
	for i := range 200 {
		now := int64(i) * 20 * ms
		if b := &boxes[i%len(boxes)]; i%5 < 2 {
			j.RecordUnreachable(now, now-5*ms, b, 0)
		} else {
			j.RecordResponse(now, b, 0)
		}
		assert.False(t, j.ZonePartitioned(0))
	}
}

// Guards the bounds for any order of events: a zone is cut only by executors that were not reached, and one answer from
// there ends it; an answer always ends that its executor cannot be reached; the time to the next trial is bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(aim, rapid.Bool().Draw(t, "zonal"))
		boxes := make([]Stats, 6)
		since := [2]map[int]bool{{}, {}}
		now := int64(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 600).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 5).Draw(t, "box")
			b, z := &boxes[i], i%2
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				j.RecordUnreachable(now, now-int64(rapid.IntRange(0, 800).Draw(t, "sent"))*ms, b, z)
				since[z][i] = true
			case 1:
				j.RecordFailure(now, b, Failure)
			case 2:
				said := j.RecordResponse(now, b, z)
				clear(since[z])
				if j.zonal && (j.ZonePartitioned(z) || b.cold) {
					t.Fatal("it answered, and it or its zone counts as unreached")
				}
				if !said.IsZero() && !strings.Contains(said.String(), "back") {
					t.Fatal(said)
				}
			case 3:
				j.RecordSuccess(now, b)
			case 4:
				if j.TrialDue(now, b, z) {
					j.TrialStarted(now, b, z)
				}
			}
			if j.ZonePartitioned(z) && len(since[z]) < zoneRun {
				t.Fatalf("zone %d is cut by %d", z, len(since[z]))
			}
			if f := j.FailureRate(now, b); f < 0 || f > 1 {
				t.Fatalf("a share of %v", f)
			}
			if j.Ejected(b, z) && !j.ZonePartitioned(z) && !j.TrialDue(now+longest*aim, b, z) {
				t.Fatal("no trial within the longest time out")
			}
		}
		cuts := 0
		for z := range 2 {
			if j.ZonePartitioned(z) != j.zone(z).cut {
				t.Fatalf("zone %d: cut is told as %v", z, j.ZonePartitioned(z))
			}
			if !j.ZonePartitioned(z) {
				continue
			}
			cuts++
			due := false
			for i := z; i < 6; i += 2 {
				due = due || j.TrialDue(now+2*longest*aim, &boxes[i], z)
			}
			if !due {
				t.Fatal("a zone that is cut is never tried")
			}
		}
		if cuts != j.cuts {
			t.Fatalf("%d zones are cut, %d counted", cuts, j.cuts)
		}
	})
}
