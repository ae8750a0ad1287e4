package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestGossipEjectionNeedsSeveralObservers checks that one or two observers are never enough, that
// three that agree are, and that each observer that was served raises the number required.
func TestGossipEjectionNeedsSeveralObservers(t *testing.T) {
	for _, c := range []struct {
		served, failed uint8
		ejected        bool
	}{
		{0, 1, false},
		{0, 2, false},
		{0, 3, true},
		{1, 4, false},
		{1, 5, true},
		{2, 6, false},
		{2, 7, true},
		{15, 15, false},
		{2, 15, true},
	} {
		d, stats := New(objective, true), &Stats{}
		evidence := Evidence{Served: c.served, Failed: c.failed}
		events := d.ApplyGossip(1, []GossipEvidence{{stats, 1, evidence}}, 100)
		assert.Equal(t, c.ejected, d.ExcludedByGossip(1, stats), "%+v: %.2f", c, evidence.FailureLowerBound())
		assert.Equal(t, c.ejected, !events[0].IsZero(), "%+v", c)
	}
}

// TestGossipEjectionIsBounded checks the limits of ejections by gossip: they cover at most a
// quarter of the capacity, do not apply to a worker that serves this dispatcher, expire, and end
// when the worker restarts.
func TestGossipEjectionIsBounded(t *testing.T) {
	d := New(objective, true)
	workers := make([]Stats, 12)
	digest := make([]GossipEvidence, len(workers))
	for i := range workers {
		digest[i] = GossipEvidence{&workers[i], 2, Evidence{Failed: uint8(3 + i)}}
	}
	d.RecordSuccess(0, &workers[11])
	d.ApplyGossip(10*ms, digest, 24)
	ejected := func(now int64) (n int) {
		for i := range workers {
			if d.ExcludedByGossip(now, &workers[i]) {
				n++
			}
		}
		return n
	}
	assert.False(t, d.ExcludedByGossip(10*ms, &workers[11]), "it served this dispatcher")
	assert.True(t, d.ExcludedByGossip(10*ms, &workers[10]))
	assert.Equal(t, 2, ejected(10*ms), "the three with the strongest evidence, less the one with an own served call")
	assert.True(t, d.TrialDue(10*ms, &workers[10], 0), "a trial")
	d.TrialStarted(10*ms, &workers[10], 0)
	assert.False(t, d.TrialDue(20*ms, &workers[10], 0))
	next := []GossipEvidence{{&workers[10], 2, Evidence{Failed: 1}}, {&workers[9], 2, Evidence{Served: 2}}}
	d.ApplyGossip(20*ms, next, 24)
	assert.True(t, d.ExcludedByGossip(15*ms+gossipFactor*objective, &workers[10]), "renewed by one observer")
	assert.False(t, d.ExcludedByGossip(20*ms, &workers[9]), "two observers that were served end it")
	digest[10].Evidence.Failed = 13
	assert.Equal(t, 0, ejected(20*ms+gossipFactor*objective), "all evidence has expired")
	d.ApplyGossip(3000*ms, digest, 24)
	workers[10].Reset()
	assert.False(t, d.ExcludedByGossip(3000*ms, &workers[10]), "replaced by another process")
	assert.True(t, d.ExcludedByGossip(3000*ms, &workers[9]))
	d.RecordSuccess(3000*ms, &workers[9])
	assert.False(t, d.ExcludedByGossip(3000*ms, &workers[9]), "it serves this dispatcher")
	d.RecordFailure(3000*ms, &workers[9], WeightFailure)
	assert.True(t, d.ExcludedByGossip(3000*ms, &workers[9]), "own evidence agrees with the gossip")
}

// TestGossipInvariantsUnderAnyEvents checks for any order of events that gossip ejects at most a
// quarter of the workers and none whose last call from this dispatcher was served, that the marks
// of one observer eject no worker, and that ejections by gossip expire.
func TestGossipInvariantsUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, workers, now := New(objective, true), make([]Stats, 8), int64(1)
		served := make([]bool, 8)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, 500*ms).Draw(t, "gap")
			i := rapid.IntRange(0, 7).Draw(t, "worker")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				d.RecordSuccess(now, &workers[i])
			case 1:
				d.RecordFailure(now, &workers[i], WeightFailure)
			case 2:
				d.RecordUnreachable(now, now-10*ms, &workers[i], i%2)
			case 3:
				d.RecordResponse(now, &workers[i], i%2)
			case 4:
				workers[i].Reset()
			case 5:
				var digest []GossipEvidence
				alone := rapid.Bool().Draw(t, "one observer")
				for k := range workers {
					mark := Mark{
						Served: uint8(rapid.IntRange(0, 15).Draw(t, "served")),
						Failed: uint8(rapid.IntRange(0, 15).Draw(t, "failed")),
					}
					marks := []Mark{mark}
					if !alone {
						marks = append(marks, mark, Mark{Served: uint8(rapid.IntRange(0, 1).Draw(t, "other"))})
					}
					if evidence := Merge(marks, 0); evidence.Reportable(false) {
						digest = append(digest, GossipEvidence{&workers[k], 1, evidence})
					}
				}
				if alone && len(digest) > 0 {
					t.Fatal("one observer alone is reported")
				}
				d.ApplyGossip(now, digest, 8)
			}
			ejected := 0
			for k := range workers {
				own := &workers[k].observed
				served[k] = own.served > 0 && now-own.servedAt < objective &&
					own.servedAt >= workers[k].gossip.ejectedAt && own.failures == 0
				if d.ExcludedByGossip(now, &workers[k]) {
					if ejected++; served[k] {
						t.Fatalf("worker %d serves this dispatcher and is ejected by gossip", k)
					}
				}
			}
			if ejected > 2 {
				t.Fatalf("%d of 8 workers are ejected by gossip", ejected)
			}
		}
		for k := range workers {
			if d.ExcludedByGossip(now+gossipFactor*objective, &workers[k]) {
				t.Fatal("an ejection by gossip did not expire")
			}
		}
	})
}

// TestSingleObserverNeverDecides combines every mark of one observer with marks of two others that
// report no failure: one observer alone never ejects a worker, nor restores one that failed the
// calls of three.
func TestSingleObserverNeverDecides(t *testing.T) {
	cases := 0
	for served := range uint8(4) {
		for failed := range uint8(4) {
			for _, latency := range []uint8{0, 4, 32, 255} {
				one := Mark{served, failed, latency}
				for responding := range 4 {
					for others := range 9 {
						cases++
						marks := []Mark{one, {Served: uint8(others % 3)}, {Served: uint8(others / 3)}}
						d, stats := New(objective, true), &Stats{}
						evidence := Merge(marks, responding)
						d.ApplyGossip(1, []GossipEvidence{{stats, 1, evidence}}, 100)
						if d.EjectedByGossip(1, stats) {
							t.Fatalf("%+v alone, %d responding, others %+v: ejected by %+v",
								one, responding, marks[1:], evidence)
						}
						d.ApplyGossip(2, []GossipEvidence{{stats, 1, Evidence{Failed: 3}}}, 100)
						d.ApplyGossip(3, []GossipEvidence{{stats, 1, Merge([]Mark{one}, 0)}}, 100)
						if !d.EjectedByGossip(3, stats) {
							t.Fatalf("%+v alone restores a worker that failed the calls of three observers", one)
						}
					}
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}
