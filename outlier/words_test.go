package outlier

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards the threshold: one observer is never enough, nor two, three that agree are, and those who are served weigh against them.
func TestWordsNeedSeveralObservers(t *testing.T) {
	for _, c := range []struct {
		good, bad uint8
		out       bool
	}{{0, 1, false}, {0, 2, false}, {0, 3, true}, {1, 4, false}, {1, 5, true}, {2, 6, false}, {2, 7, true}, {15, 15, false}, {2, 15, true}} {
		j, b := New(aim, true), &Stats{}
		news := j.ApplyGossip(1, []GossipEvidence{{b, 1, Evidence{Good: c.good, Bad: c.bad}}}, 100)
		assert.Equal(t, c.out, j.ByWords(1, b), "%+v: %.2f", c, Evidence{Good: c.good, Bad: c.bad}.Share())
		assert.Equal(t, c.out, !news[0].IsZero(), "%+v", c)
	}
}

// Guards against an observer with much traffic, or a wrong one, that outweighs others: each counts once.
func TestPoolCountsEachObserverOnce(t *testing.T) {
	w := Merge([]Mark{{Good: 0, Bad: 15}, {Good: 1}, {Good: 2}, {}}, 3)
	assert.Equal(t, Evidence{Good: 5, Bad: 1}, w)
	assert.False(t, w.Says(false))
	assert.Equal(t, Evidence{Bad: 2}, Merge([]Mark{{Bad: 6}, {Good: 1, Bad: 9}}, 0))
	assert.Zero(t, Merge([]Mark{{Pace: 200}}, 9).Pace, "one alone")
	assert.Zero(t, Merge([]Mark{{Good: 3, Pace: 200}, {Good: 9}, {Good: 9}}, 0).Pace, "slow for one, not for others")
	assert.Equal(t, 8.0, Merge([]Mark{{Good: 3, Pace: 32}, {Good: 2, Pace: 40}, {Good: 1}, {Good: 1, Pace: 32}}, 0).Slow())
	assert.False(t, Silent(1, 3) || Silent(1, 300) || Silent(0, 1))
	assert.True(t, Silent(1, 2) && Silent(2, 3))
	assert.True(t, Doubts(1, 3))
	assert.False(t, Doubts(3, 8), "a lost zone may be most of them")
	assert.False(t, Doubts(0, 1), "one executor says nothing of us")
}

// Guards what words may not do: own answers stand against them, a quarter of the capacity is the most they leave out, they
// fade, and a restart ends them.
func TestWordsAreBounded(t *testing.T) {
	j := New(aim, true)
	boxes := make([]Stats, 12)
	told := make([]GossipEvidence, len(boxes))
	for i := range boxes {
		told[i] = GossipEvidence{&boxes[i], 2, Evidence{Bad: uint8(3 + i)}}
	}
	j.RecordSuccess(0, &boxes[11])
	j.ApplyGossip(10*ms, told, 24)
	out := func(now int64) (n int) {
		for i := range boxes {
			if j.ByWords(now, &boxes[i]) {
				n++
			}
		}
		return n
	}
	assert.False(t, j.ByWords(10*ms, &boxes[11]), "it served us")
	assert.True(t, j.ByWords(10*ms, &boxes[10]))
	assert.Equal(t, 2, out(10*ms), "three of twelve, the worst, less the one that served us")
	assert.True(t, j.TrialDue(10*ms, &boxes[10], 0), "a trial")
	j.TrialStarted(10*ms, &boxes[10], 0)
	assert.False(t, j.TrialDue(20*ms, &boxes[10], 0))
	j.ApplyGossip(20*ms, []GossipEvidence{{&boxes[10], 2, Evidence{Bad: 1}}, {&boxes[9], 2, Evidence{Good: 2}}}, 24)
	assert.True(t, j.ByWords(15*ms+fadeAims*aim, &boxes[10]), "one observer renews what several found")
	assert.False(t, j.ByWords(20*ms, &boxes[9]), "two bring back what serves them")
	told[10].Word.Bad = 13
	assert.Equal(t, 0, out(20*ms+fadeAims*aim), "no word comes any more")
	j.ApplyGossip(3000*ms, told, 24)
	boxes[10].Reset()
	assert.False(t, j.ByWords(3000*ms, &boxes[10]), "another process")
	assert.True(t, j.ByWords(3000*ms, &boxes[9]))
	j.RecordSuccess(3000*ms, &boxes[9])
	assert.False(t, j.ByWords(3000*ms, &boxes[9]), "it serves us")
	j.RecordFailure(3000*ms, &boxes[9], Failure)
	assert.True(t, j.ByWords(3000*ms, &boxes[9]), "our own evidence agrees")
}

// Guards what is told: evidence against an executor, or of one that others speak of; else nothing, so a calm fleet pays
// nothing.
func TestMarksAreToldWhereTheyMatter(t *testing.T) {
	j, b := New(aim, true), &Stats{}
	j.RecordSuccess(0, b)
	_, says := j.Mark(0, b, 1)
	assert.False(t, says)
	j.ApplyGossip(1, []GossipEvidence{{b, 1, Evidence{Bad: 3}}}, 100)
	_, says = j.Mark(1, b, 1)
	assert.False(t, says, "it served us before the verdict, not since")
	assert.False(t, j.ByWords(1, b), "but so shortly before that it stands for us")
	j.RecordSuccess(2, b)
	m, says := j.Mark(2, b, 1)
	assert.True(t, says, "asked")
	assert.Equal(t, Mark{Good: 2}, m)
	c := &Stats{}
	j.RecordFailure(0, c, Failure)
	m, says = j.Mark(0, c, 1)
	assert.True(t, says)
	assert.Equal(t, Mark{Bad: 1}, m)
	j.RecordSuccess(0, c)
	_, says = j.Mark(0, c, 1)
	assert.False(t, says, "served since")
	j.RecordFailure(0, c, Failure)
	_, says = j.Mark(0, c, 1)
	assert.True(t, says, "telling changes nothing")
	_, says = j.Mark(wordAims*aim, c, 1)
	assert.False(t, says, "it fades")
	d := &Stats{}
	j.RecordFailure(1, d, Hint)
	m, says = j.Mark(1, d, 1)
	assert.True(t, says, "an answer that must not count for it")
	assert.Equal(t, Mark{}, m)
	assert.Equal(t, Evidence{}, Merge([]Mark{m}, 0))
	m, says = j.Mark(0, &Stats{}, 8)
	assert.True(t, says && m.Pace == 32)
	assert.Equal(t, StatusEjected, j.State(1, func() *Stats {
		x := &Stats{}
		j.ApplyGossip(1, []GossipEvidence{{x, 1, Evidence{Bad: 3}}}, 100)
		return x
	}(), 0, 1).Status)
}

// For any order of events: what words leave out is at most a quarter, never what served us last; one observer's marks leave
// out nothing; without words for a while nothing is left out by them.
func TestWordsUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, boxes, now := New(aim, true), make([]Stats, 8), int64(1)
		served := make([]bool, 8)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, 500*ms).Draw(t, "gap")
			i := rapid.IntRange(0, 7).Draw(t, "box")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				j.RecordSuccess(now, &boxes[i])
			case 1:
				j.RecordFailure(now, &boxes[i], Failure)
			case 2:
				j.RecordUnreachable(now, now-10*ms, &boxes[i], i%2)
			case 3:
				j.RecordResponse(now, &boxes[i], i%2)
			case 4:
				boxes[i].Reset()
			case 5:
				var told []GossipEvidence
				alone := rapid.Bool().Draw(t, "one observer")
				for k := range boxes {
					mark := Mark{Good: uint8(rapid.IntRange(0, 15).Draw(t, "good")), Bad: uint8(rapid.IntRange(0, 15).Draw(t, "bad"))}
					marks := []Mark{mark}
					if !alone {
						marks = append(marks, mark, Mark{Good: uint8(rapid.IntRange(0, 1).Draw(t, "other"))})
					}
					if w := Merge(marks, 0); w.Says(false) {
						told = append(told, GossipEvidence{&boxes[k], 1, w})
					}
				}
				if alone && len(told) > 0 {
					t.Fatal("one observer says something")
				}
				j.ApplyGossip(now, told, 8)
			}
			out := 0
			for k := range boxes {
				served[k] = boxes[k].seen.good > 0 && now-boxes[k].seen.at < aim && boxes[k].seen.at >= boxes[k].since && boxes[k].seen.run == 0
				if j.ByWords(now, &boxes[k]) {
					if out++; served[k] {
						t.Fatalf("box %d serves us, and is left out by words", k)
					}
				}
			}
			if out > 2 {
				t.Fatalf("%d of 8 left out by words", out)
			}
		}
		for k := range boxes {
			if j.ByWords(now+fadeAims*aim, &boxes[k]) {
				t.Fatal("a word that does not fade")
			}
		}
	})
}

// Every mark of one observer beside every two of others: alone it never leaves out an executor, nor does it bring one back
// that three were not served by.
func TestExhaustiveOneObserver(t *testing.T) {
	n := 0
	for good := range uint8(4) {
		for bad := range uint8(4) {
			for _, pace := range []uint8{0, 4, 32, 255} {
				one := Mark{good, bad, pace}
				for heard := range 4 {
					for others := range 9 {
						n++
						marks := []Mark{one, {Good: uint8(others % 3)}, {Good: uint8(others / 3)}}
						j, b := New(aim, true), &Stats{}
						w := Merge(marks, heard)
						j.ApplyGossip(1, []GossipEvidence{{b, 1, w}}, 100)
						if j.EjectedByGossip(1, b) {
							t.Fatalf("%+v alone, %d heard, others %+v: left out by %+v", one, heard, marks[1:], w)
						}
						j.ApplyGossip(2, []GossipEvidence{{b, 1, Evidence{Bad: 3}}}, 100)
						j.ApplyGossip(3, []GossipEvidence{{b, 1, Merge([]Mark{one}, 0)}}, 100)
						if !j.EjectedByGossip(3, b) {
							t.Fatalf("%+v alone brings back what three were not served by", one)
						}
					}
				}
			}
		}
	}
	t.Logf("%d cases", n)
}

// What one end of a call, one executor's mark, one pool and one digest's words cost.
func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{10, 60, 120} {
		j, boxes := New(aim, true), make([]Stats, n)
		told := make([]GossipEvidence, 0, 12)
		for i := range min(n, 12) {
			told = append(told, GossipEvidence{&boxes[i], 1, Evidence{Good: uint8(i), Bad: 5}})
		}
		b.Run(fmt.Sprintf("end_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				x := &boxes[i%n]
				j.RecordResponse(int64(i), x, i%2)
				if i%100 == 0 {
					j.RecordFailure(int64(i), x, Failure)
				} else {
					j.RecordSuccess(int64(i), x)
				}
			}
		})
		b.Run(fmt.Sprintf("marks_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				for k := range boxes {
					j.Mark(int64(i), &boxes[k], 1)
				}
			}
		})
		b.Run(fmt.Sprintf("words_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				j.ApplyGossip(int64(i), told, float64(n))
			}
		})
	}
	for _, n := range []int{5, 80, 300} {
		marks := make([]Mark, n)
		for i := range marks {
			marks[i] = Mark{uint8(i % 3), uint8(i % 2), uint8(i % 40)}
		}
		b.Run(fmt.Sprintf("pool_%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Merge(marks, 3)
			}
		})
	}
}
