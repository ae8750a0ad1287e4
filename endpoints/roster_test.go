package endpoints

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oakthread/balancer"
)

var t0 = time.Unix(1_800_000_000, 0)

func box(id int) Endpoint {
	return Endpoint{ID: balancer.WorkerID(id), Addr: "127.0.0.1:1", State: balancer.Active, Weight: 2, Start: t0.Add(-time.Hour), RequestRate: 10}
}

func keptList(age time.Duration, boxes ...Endpoint) Snapshot {
	return Snapshot{Epoch: "e1", Cursor: 7, Confirmed: t0.Add(-age), Saved: t0.Add(-age), Endpoints: boxes}
}

// view is the list as the module has it, from what was published.
type view map[balancer.WorkerID]Endpoint

func (v view) take(l *List) Actions {
	a := l.TakeActions()
	for _, p := range a.Publish {
		if p.Kind != balancer.EndpointsDelta {
			clear(v)
		}
		for _, b := range p.Endpoints {
			if b.State == balancer.Removed {
				delete(v, b.ID)
			} else {
				v[b.ID] = b
			}
		}
	}
	return a
}

func (v view) on() (ids []int) {
	for id, b := range v {
		if b.State == balancer.Active {
			ids = append(ids, int(id))
		}
	}
	slices.Sort(ids)
	return ids
}

// probes runs the list's ticks until d has passed and answers every probe by its box.
func probes(l *List, v view, from time.Time, d time.Duration, answer func(Endpoint) Observation) (asked map[balancer.WorkerID]int) {
	asked = map[balancer.WorkerID]int{}
	for now := from; now.Before(from.Add(d)); now = now.Add(5 * time.Millisecond) {
		l.Tick(now)
		for _, b := range v.take(l).Probe {
			asked[b.ID]++
			l.Probed(now, b.ID, answer(b))
		}
		v.take(l)
	}
	return asked
}

func always(s Observation) func(Endpoint) Observation { return func(Endpoint) Observation { return s } }

func TestSurvival(t *testing.T) {
	var h History
	assert.InDelta(t, 0.5, h.Survival(36*time.Hour), 1e-9, "the prior alone: (12/48)^0.5")
	h.Watched, h.Leaves = 1000*time.Hour, 10
	assert.InDelta(t, math.Pow(1012.0/1022, 10.5), h.Survival(10*time.Hour), 1e-12)
	assert.InDelta(t, 10.5/1012, h.FailureRate(), 1e-12)
	assert.Equal(t, 1.0, h.Survival(-time.Second))
	h.watch(1000, 90*24*time.Hour)
	assert.Equal(t, mostWatched, h.Watched, "bounded")
	assert.Less(t, h.Leaves, 10.0, "old departures fade with the time that they were counted in")
	for range 3 * mostEvents {
		h.add(t0, 1, Left)
	}
	assert.Len(t, h.Events, mostEvents)
}

// Guards the start: nothing is given to the module before a box has answered, then only those that did.
func TestOnlyProvenBoxesAreGiven(t *testing.T) {
	l, v := New(Config{Siblings: 3}), view{}
	gone := box(3)
	gone.State = balancer.Draining
	l.Restore(t0, keptList(6*time.Hour, box(1), box(2), gone))
	assert.Empty(t, l.TakeActions().Publish, "no list before a proof")
	asked := probes(l, v, t0, time.Second, func(b Endpoint) Observation {
		if b.ID == 1 {
			return Answered
		}
		return Refused
	})
	assert.Equal(t, []int{1}, v.on())
	assert.Zero(t, asked[3], "discovery's word on a drain needs no proof")
	assert.Less(t, l.Confidence(t0.Add(time.Second), 2), leaveOut)
	assert.Equal(t, 1, l.Usable())
}

// Guards the dispatcher against a list of which nothing is left: it says so, once, and gives out nothing.
func TestAllGone(t *testing.T) {
	l := New(Config{})
	l.Restore(t0, keptList(time.Hour, box(1), box(2)))
	said := 0
	for now := t0; now.Before(t0.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		l.Tick(now)
		a := l.TakeActions()
		for _, b := range a.Probe {
			l.Probed(now, b.ID, Silent)
		}
		assert.Empty(t, a.Publish)
		for _, line := range a.Log {
			if line == "no kept box is left: 2 do not answer, 0 drain; waiting for discovery" {
				said++
			}
		}
	}
	assert.Equal(t, 1, said)
}

// Guards the boxes against a fleet of dispatchers that restarts at once: probes are spread and bounded.
func TestProbesAreSpread(t *testing.T) {
	var boxes []Endpoint
	for i := range 200 {
		boxes = append(boxes, box(i+1))
	}
	const n = 60 // dispatchers
	perBox := map[balancer.WorkerID]map[int]int{}
	for d := range n {
		l, v := New(Config{Siblings: n, Seed: uint64(d)}), view{}
		l.Restore(t0, keptList(time.Hour, boxes...))
		out := 0
		for tick := range 100 {
			now := t0.Add(time.Duration(tick) * 5 * time.Millisecond)
			l.Tick(now)
			ps := v.take(l).Probe
			out = max(out, len(ps))
			for _, b := range ps {
				if perBox[b.ID] == nil {
					perBox[b.ID] = map[int]int{}
				}
				perBox[b.ID][tick/20]++ // in a tenth of a second
				l.Probed(now, b.ID, Answered)
			}
		}
		assert.LessOrEqual(t, out, probesOut)
	}
	most := 0
	for _, by := range perBox {
		for _, k := range by {
			most = max(most, k)
		}
	}
	assert.LessOrEqual(t, most, 3*defaultProbeRate/10, "at one box in a tenth of a second, from %d dispatchers", n)
}

// Guards cold and crowded boxes: what passes the door starts below the cold budget and doubles with proofs alone.
func TestRamp(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	_, ok := l.Admit(t0)
	for range 3 { // at most the random first token
		_, ok = l.Admit(t0)
	}
	assert.False(t, ok, "no box has answered")
	l.Probed(t0, 1, Answered)
	l.Probed(t0, 2, Answered)
	v.take(l)
	passed := func(from time.Time, d time.Duration) (n int) {
		for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
			if _, ok := l.Admit(now); ok {
				n++
			}
		}
		return n
	}
	assert.InDelta(t, 2*0.36*10, passed(t0, time.Second), 1.5, "0.36 of what both bore, and no more without proof")
	now := t0.Add(time.Second)
	l.Observe(now, 1, Answered)
	l.Observe(now, 1, Answered) // in the same moment: one proof
	assert.InDelta(t, 3*0.36*10, passed(now, time.Second), 1.5, "one of them doubled")
	now = now.Add(time.Second)
	l.Observe(now, 1, Busy)
	l.Observe(now, 2, Slow)
	assert.InDelta(t, 2*0.36*10, passed(now, time.Second), 1.5, "setbacks halve")
	l.Probed(now, 1, Answered) // any event publishes
	v.take(l)
	assert.Less(t, v[2].Weight, box(2).Weight, "and the module has it light until it has proved itself again")
}

// Guards the promise of a time to come back: those turned away are told different times, none beyond the longest.
func TestWaitsAreSpread(t *testing.T) {
	l := New(Config{MaxWait: time.Second})
	l.Restore(t0, keptList(time.Minute, box(1)))
	l.Probed(t0, 1, Answered)
	seen := map[time.Duration]bool{}
	for range 8 {
		wait, ok := l.Admit(t0)
		if !ok {
			assert.False(t, seen[wait] && wait < time.Second, "told twice: %v", wait)
			assert.LessOrEqual(t, wait, time.Second)
			assert.Positive(t, wait)
			seen[wait] = true
		}
	}
	assert.GreaterOrEqual(t, len(seen), 3)
}

// Guards the 1 s rule before discovery is back: a 503 has the box asked, and its own word on a drain binds at once.
func TestABoxSaysThatItDrains(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	probes(l, v, t0, time.Second, always(Answered))
	require.Equal(t, []int{1, 2}, v.on())
	now := t0.Add(time.Second)
	l.Observe(now, 2, Busy)
	l.Tick(now)
	a := v.take(l)
	require.Len(t, a.Probe, 1)
	assert.Equal(t, balancer.WorkerID(2), a.Probe[0].ID)
	l.Probed(now, 2, Drains)
	a = v.take(l)
	assert.Equal(t, []int{1}, v.on())
	assert.True(t, a.Urgent, "on disk at once")
	assert.Equal(t, balancer.Draining, l.TakeSnapshot(now).Endpoints[1].State)

	// Discovery is late: its word that the box runs does not undo the box's own for a while.
	l.HandleUpdate(now, Update{Full: true, Cursor: 8, Endpoints: []Endpoint{box(1), box(2)}})
	v.take(l)
	assert.True(t, l.Live())
	l.ConfirmCurrent(now.Add(time.Second))
	v.take(l)
	assert.Equal(t, []int{1, 2}, v.on(), "a newer word on this very box counts")
}

// Guards a full box against questions: however many calls it turns away, it is asked four times a second at the most.
func TestAFullBoxIsAskedRarely(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1)))
	probes(l, v, t0, 2*time.Second, always(Answered))
	asked := 0
	for now := t0.Add(2 * time.Second); now.Before(t0.Add(4 * time.Second)); now = now.Add(5 * time.Millisecond) {
		l.Observe(now, 1, Busy)
		l.Tick(now)
		for _, b := range v.take(l).Probe {
			asked++
			l.Probed(now, b.ID, Answered)
		}
	}
	assert.InDelta(t, 8, asked, 1)
	assert.Equal(t, []int{1}, v.on(), "full is not gone")
}

// Guards against a stale word: a list that is merely confirmed does not bring back what said that it drains.
func TestConfirmationDoesNotUndoADrain(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	probes(l, v, t0, time.Second, always(Answered))
	now := t0.Add(time.Second)
	l.Probed(now, 2, Drains)
	l.ConfirmCurrent(now.Add(100 * time.Millisecond))
	v.take(l)
	assert.Equal(t, []int{1}, v.on())
	asked := probes(l, v, now.Add(time.Second), 2*ownWord, always(Answered))
	assert.NotZero(t, asked[2], "asked again when its word has run out")
	assert.Equal(t, []int{1, 2}, v.on())
}

// Guards what comes with discovery's return: gone boxes leave, fresh ones come with their start, the rest stays as it is.
func TestDiscoveryReturns(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Hour, box(1), box(2), box(3)))
	probes(l, v, t0, time.Second, func(b Endpoint) Observation {
		if b.ID == 3 {
			return Silent
		}
		return Answered
	})
	now := t0.Add(time.Second)
	fresh := box(9)
	fresh.Start = now
	gone := box(2)
	gone.State = balancer.Removed
	l.HandleUpdate(now, Update{Cursor: 8, Endpoints: []Endpoint{gone, fresh}})
	v.take(l)
	assert.Equal(t, []int{1, 9}, v.on(), "changes count at once")
	l.ConfirmCurrent(now)
	a := v.take(l)
	for _, p := range a.Publish {
		assert.Equal(t, balancer.EndpointsDelta, p.Kind, "beliefs about those that stayed are kept")
	}
	assert.Equal(t, []int{1, 3, 9}, v.on(), "discovery's word on the rest")
	assert.Equal(t, now, v[9].Start, "cold by what was told")
	assert.False(t, l.InSlowStart())
	var whats []What
	for _, e := range l.TakeSnapshot(now).History.Events {
		whats = append(whats, e.What)
	}
	assert.Equal(t, []What{Left, Joined}, whats)
	assert.Equal(t, int64(8), l.Cursor())
}

// Guards the numbering: a change under another epoch is not mixed in; after a reset the list comes whole.
func TestEpochs(t *testing.T) {
	l, v := New(Config{}), view{}
	l.HandleUpdate(t0, Update{Full: true, Epoch: "e1", Cursor: 50, Endpoints: []Endpoint{box(1), box(2)}})
	v.take(l)
	l.HandleUpdate(t0, Update{Epoch: "e2", Cursor: 51, Endpoints: []Endpoint{box(3)}})
	v.take(l)
	assert.Equal(t, []int{1, 2}, v.on())
	assert.Equal(t, int64(50), l.Cursor())
	l.ResetWatch(t0)
	v.take(l)
	assert.Equal(t, []int{1, 2}, v.on(), "the list stays until it is told anew")
	l.HandleUpdate(t0, Update{Full: true, Epoch: "e2", Cursor: 1, Endpoints: []Endpoint{box(2), box(3)}})
	v.take(l)
	assert.Equal(t, []int{2, 3}, v.on())
	assert.Equal(t, int64(1), l.Cursor())
	assert.Equal(t, "e2", l.Epoch())
}

// Guards a restart through a discovery that comes back half way, is lost again, and comes back with another epoch: what it
// told counts at once, the rest lives on by its proofs, and the last word is whole.
func TestDiscoveryComesAndGoes(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Hour, box(1), box(2), box(3)))
	probes(l, v, t0, time.Second, always(Answered))
	now := t0.Add(time.Second)
	drain := box(2)
	drain.State = balancer.Draining
	l.HandleUpdate(now, Update{Cursor: 8, Epoch: "e1", Endpoints: []Endpoint{drain}}) // and then its connection is cut
	l.WatchLost(now)
	v.take(l)
	assert.Equal(t, []int{1, 3}, v.on())
	assert.False(t, l.Live(), "half of its word is not the whole list")
	asked := probes(l, v, now, 20*time.Second, always(Answered))
	assert.Zero(t, asked[2])
	assert.Equal(t, []int{1, 3}, v.on(), "an answer does not undo discovery's word on a drain")
	now = now.Add(20 * time.Second)
	l.ResetWatch(now)
	l.HandleUpdate(now, Update{Full: true, Epoch: "e2", Cursor: 1, Endpoints: []Endpoint{box(3), box(4)}})
	v.take(l)
	assert.Equal(t, []int{3, 4}, v.on())
	assert.True(t, l.Live())
	k := l.TakeSnapshot(now)
	assert.Equal(t, "e2", k.Epoch)
	assert.Len(t, k.Endpoints, 2)
}

// Guards against another box at an old address: what answers where a box was left out counts as cold and unproved.
func TestAddressTakenOver(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	probes(l, v, t0, 2*time.Second, func(b Endpoint) Observation {
		if b.ID == 2 {
			return Refused
		}
		return Answered
	})
	require.Equal(t, []int{1}, v.on())
	from := t0.Add(2 * time.Second)
	probes(l, v, from, 2*probeMost, always(Answered))
	require.Equal(t, []int{1, 2}, v.on())
	assert.False(t, v[2].Start.Before(from), "as if it had just started")
}

// Guards against a made-up age: a list from the future is of unknown age.
func TestClockWentBack(t *testing.T) {
	l := New(Config{})
	l.Restore(t0, keptList(-time.Hour, box(1)))
	var h History
	assert.InDelta(t, h.Survival(unknownAge), l.Confidence(t0, 1), 1e-9)
	assert.Negative(t, l.Rows(t0)[0].Age)
}

// Guards steady service while discovery is away: boxes without traffic are asked again as trust runs down.
func TestLostWhileServing(t *testing.T) {
	l, v := New(Config{}), view{}
	l.HandleUpdate(t0, Update{Full: true, Cursor: 1, Endpoints: []Endpoint{box(1), box(2)}})
	v.take(l)
	l.WatchLost(t0)
	asked := probes(l, v, t0, time.Second, always(Answered))
	assert.Empty(t, asked, "just told")
	for now := t0; now.Before(t0.Add(12 * time.Hour)); now = now.Add(10 * time.Second) {
		l.Tick(now)
		for _, b := range v.take(l).Probe {
			asked[b.ID]++
			s := Answered
			if b.ID == 2 {
				s = Silent
			}
			l.Probed(now, b.ID, s)
		}
		v.take(l)
	}
	assert.Equal(t, []int{1}, v.on())
	assert.Greater(t, asked[1], 1)
}

func TestDialer(t *testing.T) {
	d := NewDialer([]string{"a", "b", "c"}, 3)
	first, wait := d.Next()
	assert.Zero(t, wait)
	seen := map[string]bool{first: true}
	for range 2 {
		d.Failed()
		a, w := d.Next()
		seen[a] = true
		assert.LessOrEqual(t, w, dialFirst)
	}
	assert.Len(t, seen, 3, "in turn")
	most := time.Duration(0)
	for range 200 {
		d.Failed()
		_, w := d.Next()
		most = max(most, w)
	}
	assert.LessOrEqual(t, most, dialMost)
	assert.Greater(t, most, dialMost/2)
	at, _ := d.Next()
	d.Good()
	again, wait := d.Next()
	assert.Equal(t, at, again)
	assert.Zero(t, wait)
	_, wait = NewDialer(nil, 0).Next()
	assert.Equal(t, dialMost, wait)
}

// Over random orders of all events: no box is given as on once it was told to drain or be gone and nothing newer came;
// one entry a box; trust within 0..1 and never rising with age alone; the door never opens for more than its tokens.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, v, now := New(Config{Seed: rapid.Uint64().Draw(t, "seed"), Siblings: rapid.IntRange(1, 50).Draw(t, "siblings")}), view{}, t0
		var boxes []Endpoint
		for i := range rapid.IntRange(0, 5).Draw(t, "kept") {
			boxes = append(boxes, box(i+1))
		}
		l.Restore(now, keptList(time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "age"))*time.Second, boxes...))
		v.take(l)
		banned := map[balancer.WorkerID]time.Time{} // told or said that it drains or is gone
		cursor := int64(7)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "after")) * time.Millisecond)
			id := balancer.WorkerID(rapid.IntRange(1, 7).Draw(t, "box"))
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				b := box(int(id))
				b.State = balancer.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
				cursor++
				l.HandleUpdate(now, Update{Cursor: cursor, Endpoints: []Endpoint{b}})
				if delete(banned, id); b.State != balancer.Active {
					banned[id] = now
				}
			case 1:
				var all []Endpoint
				clear(banned)
				for i := 1; i <= 7; i++ {
					if rapid.Bool().Draw(t, "in") {
						all = append(all, box(i))
					} else {
						banned[balancer.WorkerID(i)] = now
					}
				}
				cursor++
				l.HandleUpdate(now, Update{Full: true, Cursor: cursor, Endpoints: all})
			case 2:
				l.ConfirmCurrent(now)
			case 3:
				l.WatchLost(now)
			case 4:
				l.Observe(now, id, Observation(rapid.IntRange(0, 6).Draw(t, "sign")))
			case 5:
				s := Observation(rapid.IntRange(0, 6).Draw(t, "probe"))
				if l.Probed(now, id, s); s == Drains && l.boxes[id] != nil {
					banned[id] = now
				} else if e := l.boxes[id]; (s == Answered || s == Slow) && e != nil && e.State == balancer.Active {
					delete(banned, id) // it takes work again, or another box stands there
				}
			case 6:
				l.ResetWatch(now)
				cursor = 0
			case 7:
				l.Admit(now)
			case 8:
				l.Tick(now)
			}
			v.take(l)
			for id, at := range banned {
				if b, there := v[id]; there && b.State == balancer.Active && now.Sub(at) < ownWord {
					t.Fatalf("box %d is given as on %v after it was told to drain or be gone", id, now.Sub(at))
				}
			}
			seen := map[balancer.WorkerID]bool{}
			for _, r := range l.Rows(now) {
				if seen[r.ID] {
					t.Fatalf("box %d stands there twice", r.ID)
				}
				seen[r.ID] = true
				later := l.Confidence(now.Add(time.Hour), r.ID)
				if !(r.Trust >= 0 && r.Trust <= 1) || later > r.Trust {
					t.Fatalf("box %d: trust %v, an hour later %v", r.ID, r.Trust, later)
				}
			}
			for id := range v {
				if !seen[id] {
					t.Fatalf("box %d is given and not in the list", id)
				}
			}
		}
	})
}
