package streamlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_800_000_000, 0)

func table(l Limits, conns ...ID) *Table {
	t := New(l)
	for _, id := range conns {
		t.Opened(t0, id)
	}
	return t
}

// Guards places: what is over a connection's or the front's is refused, provably untaken, and frees with the answer.
func TestPlaces(t *testing.T) {
	tab := table(Limits{Streams: 2, AllStreams: 3}, 1, 2)
	ask := func(id ID, s StreamID) Reason {
		_, r := tab.Request(t0, id, s)
		return r
	}
	assert.Empty(t, ask(1, 1))
	assert.Empty(t, ask(1, 3))
	assert.Equal(t, TooManyStreams, ask(1, 5))
	assert.Empty(t, ask(2, 1))
	assert.Equal(t, Full, ask(2, 3))
	tab.Answered(t0, 1, 1, 0)
	assert.Empty(t, ask(2, 3))
	tab.Closed(1)
	assert.Equal(t, 2, tab.Open())
	tab.Leave(2)
	assert.Equal(t, Leaving, ask(2, 5))
	assert.Equal(t, Leaving, ask(9, 1), "a connection that is not known")
}

// Guards boxes and the front against a client that opens and resets: at length its rate counts, and at once the work that
// it leaves behind.
func TestResets(t *testing.T) {
	tab := table(Limits{Resets: 10, ResetBurst: 20, Orphans: 3}, 1, 2)
	s := StreamID(1)
	flood := func(id ID, orphan bool) (Verdict, Reason) {
		if v, r := tab.Request(t0, id, s); v != Let {
			return v, r
		}
		s += 2
		return tab.Reset(t0, id, s-2, orphan)
	}
	for range 3 {
		v, _ := flood(1, true)
		assert.Equal(t, Let, v)
	}
	v, r := flood(1, true)
	assert.Equal(t, Refuse, v)
	assert.Equal(t, OrphanFlood, r)
	tab.Orphaned(1)
	v, _ = flood(1, true)
	assert.Equal(t, Let, v, "its work has ended")

	for range 20 {
		v, _ = flood(2, false)
		assert.Equal(t, Let, v)
	}
	v, r = flood(2, false)
	assert.Equal(t, GoAway, v)
	assert.Equal(t, ResetFlood, r)
	assert.Equal(t, int64(1), tab.Counts[ResetFlood])
	assert.Zero(t, tab.Open())
}

func TestResetThatCrossesTheAnswer(t *testing.T) {
	tab := table(Limits{Orphans: 1}, 1)
	for s := StreamID(1); s < 20; s += 2 {
		v, _ := tab.Request(t0, 1, s)
		require.Equal(t, Let, v)
		tab.Answered(t0, 1, s, 10)
		tab.Reset(t0, 1, s, true)
	}
	assert.Zero(t, tab.Held())
}

func TestControlFrames(t *testing.T) {
	tab := table(Limits{Control: 10, ControlBurst: 5}, 1)
	v := Let
	for range 5 {
		v, _ = tab.Control(t0, 1)
		assert.Equal(t, Let, v)
	}
	v, _ = tab.Control(t0.Add(100*time.Millisecond), 1)
	assert.Equal(t, Let, v, "one more has come back")
	v, r := tab.Control(t0.Add(100*time.Millisecond), 1)
	assert.Equal(t, Close, v)
	assert.Equal(t, ControlFlood, r)
}

// Guards memory and the others: a reader that moves nothing gives way when its time is up, and before that, the one that
// holds most for longest when the memory for all is used.
func TestSlowReaders(t *testing.T) {
	tab := table(Limits{Held: 100, AllHeld: 150, Stall: 5 * time.Second}, 1, 2, 3)
	for id := ID(1); id <= 3; id++ {
		tab.Request(t0, id, 1)
	}
	tab.Answered(t0, 1, 1, 60)
	tab.Answered(t0.Add(time.Second), 2, 1, 80)
	assert.Empty(t, tab.Tick(t0.Add(time.Second)))
	tab.Answered(t0.Add(2*time.Second), 3, 1, 40)
	got := tab.Tick(t0.Add(3 * time.Second))
	assert.Equal(t, []Action{{1, Close, MemoryHeld}}, got, "60 bytes for 3 s weigh 240, 80 for 2 s the same, the first goes")
	tab.Closed(1)
	tab.Moved(t0.Add(4*time.Second), 2, 1, 30)
	got = tab.Tick(t0.Add(7 * time.Second))
	assert.Equal(t, []Action{{3, Close, SlowReader}}, got, "2 moved lately")
	tab.Closed(3)
	tab.Moved(t0.Add(8*time.Second), 2, 1, 50)
	assert.Zero(t, tab.Open(), "the last byte ends the stream")
	tab.Request(t0, 2, 3)
	v, r := tab.Answered(t0, 2, 3, 101)
	assert.Equal(t, Close, v)
	assert.Equal(t, MemoryHeld, r)
}

func TestIdleAndOld(t *testing.T) {
	tab := table(Limits{Idle: time.Minute, Age: time.Hour}, 1)
	tab.Request(t0, 1, 1)
	assert.Empty(t, tab.Tick(t0.Add(2*time.Minute)), "a stream is open")
	assert.Equal(t, []Action{{1, GoAway, Old}}, tab.Tick(t0.Add(time.Hour)))
	assert.Empty(t, tab.Tick(t0.Add(time.Hour)), "said once")
	tab.Answered(t0.Add(time.Hour), 1, 1, 0)
	assert.Equal(t, []Action{{1, Close, Idle}}, tab.Tick(t0.Add(time.Hour+time.Minute)))
}

// Over random orders of events: no limit is ever passed, sums agree with what they sum, and what is closed holds nothing.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Streams: 3, AllStreams: 7, Held: 50, AllHeld: 100, Resets: 1, ResetBurst: 5, Orphans: 2, Control: 1, ControlBurst: 5,
			Stall: 2 * time.Second, Idle: 10 * time.Second, Age: time.Minute}
		tab, now := New(l), t0
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond)
			id, s := ID(rapid.IntRange(1, 4).Draw(t, "conn")), StreamID(rapid.IntRange(0, 4).Draw(t, "stream")*2+1)
			bytes := int64(rapid.IntRange(0, 60).Draw(t, "bytes"))
			v := Let
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if tab.conns[id] == nil {
					tab.Opened(now, id)
				}
			case 1:
				if c := tab.conns[id]; c == nil || c.streams[s] == nil {
					tab.Request(now, id, s)
				}
			case 2:
				v, _ = tab.Answered(now, id, s, bytes)
			case 3:
				tab.Moved(now, id, s, bytes)
			case 4:
				v, _ = tab.Reset(now, id, s, bytes > 30)
			case 5:
				v, _ = tab.Control(now, id)
			case 6:
				tab.Orphaned(id)
			case 7:
				for _, a := range tab.Tick(now) {
					if a.Verdict == Close {
						tab.Closed(a.Conn)
					}
				}
				if tab.Held() > l.AllHeld {
					t.Fatalf("%d bytes are held after a look, %d allowed", tab.Held(), l.AllHeld)
				}
			}
			if v == Close {
				tab.Closed(id)
			}
			open, held := 0, int64(0)
			for _, c := range tab.conns {
				sum := int64(0)
				for _, x := range c.streams {
					sum += x.held
				}
				if len(c.streams) > l.Streams || c.held > l.Held || c.orphans > l.Orphans && !c.leaving ||
					c.orphans > l.Orphans+l.Streams-1 || sum != c.held || c.held < 0 {
					t.Fatalf("connection %d: %d streams, %d orphans, %d bytes held, %d by its streams", c.id, len(c.streams), c.orphans, c.held, sum)
				}
				open, held = open+len(c.streams), held+sum
			}
			if open != tab.Open() || held != tab.Held() || open > l.AllStreams {
				t.Fatalf("%d streams and %d bytes, the table says %d and %d", open, held, tab.Open(), tab.Held())
			}
		}
	})
}
