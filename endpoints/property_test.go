package endpoints

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakthread/balancer"
)

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
				if l.Probed(now, id, s); s == Drains && l.entries[id] != nil {
					banned[id] = now
				} else if e := l.entries[id]; (s == Answered || s == Slow) && e != nil && e.State == balancer.Active {
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
				if b, there := v[id]; there && b.State == balancer.Active && now.Sub(at) < drainReportTTL {
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
