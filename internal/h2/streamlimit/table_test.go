package streamlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// newTable returns a Table with connections that were opened at start.
func newTable(limits Limits, conns ...ConnID) *Table {
	t := New(limits)
	for _, id := range conns {
		t.HandleOpen(start, id)
	}
	return t
}

// A stream over the limit of a connection or of the server is refused. A complete response or the
// end of a connection frees its streams.
func TestStreamsOverALimitAreRefused(t *testing.T) {
	tab := newTable(Limits{StreamsPerConn: 2, TotalStreams: 3}, 1, 2)
	open := func(id ConnID, s StreamID) Reason {
		_, reason := tab.HandleRequest(start, id, s)
		return reason
	}
	assert.Empty(t, open(1, 1))
	assert.Empty(t, open(1, 3))
	assert.Equal(t, TooManyStreams, open(1, 5))
	assert.Empty(t, open(2, 1))
	assert.Equal(t, TooManyTotalStreams, open(2, 3))
	tab.HandleResponse(start, 1, 1, 0)
	assert.Empty(t, open(2, 3))
	tab.HandleClose(1)
	assert.Equal(t, 2, tab.OpenStreams())
	tab.Drain(2)
	assert.Equal(t, Draining, open(2, 5))
	assert.Equal(t, Draining, open(9, 1), "unknown connection")
}

// A client that opens and resets streams in a loop is limited by the reset rate and by the number
// of its requests that continue to run.
func TestResetFloodsAreLimited(t *testing.T) {
	tab := newTable(Limits{ResetRate: 10, ResetBurst: 20, OrphansPerConn: 3}, 1, 2)
	s := StreamID(1)
	flood := func(id ConnID, orphan bool) (Decision, Reason) {
		if v, r := tab.HandleRequest(start, id, s); v != Allow {
			return v, r
		}
		s += 2
		return tab.HandleReset(start, id, s-2, orphan)
	}
	for range 3 {
		v, _ := flood(1, true)
		assert.Equal(t, Allow, v)
	}
	v, r := flood(1, true)
	assert.Equal(t, RefuseStream, v)
	assert.Equal(t, OrphanFlood, r)
	tab.HandleOrphanEnd(1)
	v, _ = flood(1, true)
	assert.Equal(t, Allow, v, "its request has ended")

	for range 20 {
		v, _ = flood(2, false)
		assert.Equal(t, Allow, v)
	}
	v, r = flood(2, false)
	assert.Equal(t, GoAway, v)
	assert.Equal(t, ResetFlood, r)
	assert.Equal(t, int64(1), tab.Rejections[ResetFlood])
	assert.Zero(t, tab.OpenStreams())
}

// A reset after a complete response leaves no orphan.
func TestResetAfterResponseLeavesNoOrphan(t *testing.T) {
	tab := newTable(Limits{OrphansPerConn: 1}, 1)
	for s := StreamID(1); s < 20; s += 2 {
		v, _ := tab.HandleRequest(start, 1, s)
		require.Equal(t, Allow, v)
		tab.HandleResponse(start, 1, s, 10)
		tab.HandleReset(start, 1, s, true)
	}
	assert.Zero(t, tab.BufferedBytes())
}

// Control frames beyond the burst close the connection. The bucket is refilled at the given rate.
func TestControlFloodsCloseTheConnection(t *testing.T) {
	tab := newTable(Limits{ControlRate: 10, ControlBurst: 5}, 1)
	for range 5 {
		v, _ := tab.HandleControlFrame(start, 1)
		assert.Equal(t, Allow, v)
	}
	v, _ := tab.HandleControlFrame(start.Add(100*time.Millisecond), 1)
	assert.Equal(t, Allow, v, "one token is refilled")
	v, r := tab.HandleControlFrame(start.Add(100*time.Millisecond), 1)
	assert.Equal(t, CloseConn, v)
	assert.Equal(t, ControlFlood, r)
}

// The connection of a client that reads nothing is closed after the stall timeout. If the total of
// buffered bytes is exceeded, the connection with the greatest weight is closed earlier.
func TestSlowReadersLoseTheirConnection(t *testing.T) {
	tab := newTable(Limits{BufferedPerConn: 100, TotalBuffered: 150, StallTimeout: 5 * time.Second}, 1, 2, 3)
	for id := ConnID(1); id <= 3; id++ {
		tab.HandleRequest(start, id, 1)
	}
	tab.HandleResponse(start, 1, 1, 60)
	tab.HandleResponse(start.Add(time.Second), 2, 1, 80)
	assert.Empty(t, tab.HandleTimer(start.Add(time.Second)))
	tab.HandleResponse(start.Add(2*time.Second), 3, 1, 40)
	got := tab.HandleTimer(start.Add(3 * time.Second))
	assert.Equal(t, []Action{{1, CloseConn, TooMuchBuffered}}, got,
		"60 bytes for 3 s and 80 bytes for 2 s both weigh 240: the lower id is closed")
	tab.HandleClose(1)
	tab.HandleWritten(start.Add(4*time.Second), 2, 1, 30)
	got = tab.HandleTimer(start.Add(7 * time.Second))
	assert.Equal(t, []Action{{3, CloseConn, SlowReader}}, got, "the client of 2 has read recently")
	tab.HandleClose(3)
	tab.HandleWritten(start.Add(8*time.Second), 2, 1, 50)
	assert.Zero(t, tab.OpenStreams(), "the last byte ends the stream")
	tab.HandleRequest(start, 2, 3)
	v, r := tab.HandleResponse(start, 2, 3, 101)
	assert.Equal(t, CloseConn, v)
	assert.Equal(t, TooMuchBuffered, r)
}

// A connection without streams is closed after the idle timeout. One that has reached its maximum
// age gets GOAWAY once.
func TestIdleAndOldConnectionsEnd(t *testing.T) {
	tab := newTable(Limits{IdleTimeout: time.Minute, MaxAge: time.Hour}, 1)
	tab.HandleRequest(start, 1, 1)
	assert.Empty(t, tab.HandleTimer(start.Add(2*time.Minute)), "a stream is open")
	assert.Equal(t, []Action{{1, GoAway, MaxAgeReached}}, tab.HandleTimer(start.Add(time.Hour)))
	assert.Empty(t, tab.HandleTimer(start.Add(time.Hour)), "GOAWAY is sent once")
	tab.HandleResponse(start.Add(time.Hour), 1, 1, 0)
	assert.Equal(t, []Action{{1, CloseConn, Idle}}, tab.HandleTimer(start.Add(time.Hour+time.Minute)))
}

// For random sequences of events no limit is exceeded, totals equal the sums of their parts, and
// closed connections have nothing buffered.
func TestLimitsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			StreamsPerConn: 3, TotalStreams: 7, BufferedPerConn: 50, TotalBuffered: 100, ResetRate: 1, ResetBurst: 5,
			OrphansPerConn: 2, ControlRate: 1, ControlBurst: 5,
			StallTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second, MaxAge: time.Minute,
		}
		tab, now := New(limits), start
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond)
			id := ConnID(rapid.IntRange(1, 4).Draw(t, "conn"))
			s := StreamID(rapid.IntRange(0, 4).Draw(t, "stream")*2 + 1)
			bytes := int64(rapid.IntRange(0, 60).Draw(t, "bytes"))
			v := Allow
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if tab.conns[id] == nil {
					tab.HandleOpen(now, id)
				}
			case 1:
				if c := tab.conns[id]; c == nil || c.streams[s] == nil {
					tab.HandleRequest(now, id, s)
				}
			case 2:
				v, _ = tab.HandleResponse(now, id, s, bytes)
			case 3:
				tab.HandleWritten(now, id, s, bytes)
			case 4:
				v, _ = tab.HandleReset(now, id, s, bytes > 30)
			case 5:
				v, _ = tab.HandleControlFrame(now, id)
			case 6:
				tab.HandleOrphanEnd(id)
			case 7:
				for _, a := range tab.HandleTimer(now) {
					if a.Decision == CloseConn {
						tab.HandleClose(a.Conn)
					}
				}
				if tab.BufferedBytes() > limits.TotalBuffered {
					t.Fatalf("%d bytes are buffered after the timer, %d allowed",
						tab.BufferedBytes(), limits.TotalBuffered)
				}
			}
			if v == CloseConn {
				tab.HandleClose(id)
			}
			checkTotals(t, tab, limits)
		}
	})
}

// checkTotals fails the test if a limit is exceeded or a total differs from the sum of its parts.
func checkTotals(t *rapid.T, tab *Table, limits Limits) {
	t.Helper()
	streams, buffered := 0, int64(0)
	for _, conn := range tab.conns {
		sum := int64(0)
		for _, stream := range conn.streams {
			sum += stream.buffered
		}
		tooManyOrphans := conn.orphans > limits.OrphansPerConn && !conn.draining ||
			conn.orphans > limits.OrphansPerConn+limits.StreamsPerConn-1
		if len(conn.streams) > limits.StreamsPerConn || conn.buffered > limits.BufferedPerConn || tooManyOrphans ||
			sum != conn.buffered || conn.buffered < 0 {
			t.Fatalf("connection %d: %d streams, %d orphans, %d bytes buffered, %d by its streams",
				conn.id, len(conn.streams), conn.orphans, conn.buffered, sum)
		}
		streams, buffered = streams+len(conn.streams), buffered+sum
	}
	if streams != tab.OpenStreams() || buffered != tab.BufferedBytes() || streams > limits.TotalStreams {
		t.Fatalf("%d streams and %d bytes, the table says %d and %d",
			streams, buffered, tab.OpenStreams(), tab.BufferedBytes())
	}
}
