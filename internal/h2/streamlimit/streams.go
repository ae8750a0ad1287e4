// Package streams owns the limits of a front with multiplexed streams (HTTP/2, RFC 9113): what each connection and all of
// them together may open, reset, hold and cost. A Table is one single-threaded state machine: events in with now,
// verdicts out; no clock, no goroutine, no I/O. It never decides what becomes of a call.
package streamlimit

import (
	"maps"
	"slices"
	"time"
)

// Limits are the figures of a Table. Zero values take the defaults.
type Limits struct {
	Streams      int           // open at a time on one connection; 0: 250
	AllStreams   int           // over all connections; 0: 4096
	Held         int64         // bytes of answers that wait for readers, on one connection; 0: 1 MiB
	AllHeld      int64         // over all connections; 0: 16 MiB
	Resets       float64       // a second that one connection may ask for at length; 0: 50
	ResetBurst   float64       // at once; 0: 200
	Orphans      int           // calls of one connection at work for streams that were reset; 0: 32
	Control      float64       // SETTINGS, PING, PRIORITY and empty frames a second; 0: 20
	ControlBurst float64       // at once; 0: 100
	Stall        time.Duration // that a reader may move nothing while an answer waits; 0: 5 s
	Idle         time.Duration // without a stream; 0: 60 s
	Age          time.Duration // of a connection, then it is asked to come anew; 0: 1 h
}

func (l Limits) filled() Limits {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	defF := func(v *float64, d float64) {
		if *v <= 0 {
			*v = d
		}
	}
	defD := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&l.Streams, 250)
	def(&l.AllStreams, 4096)
	def(&l.Orphans, 32)
	defF(&l.Resets, 50)
	defF(&l.ResetBurst, 200)
	defF(&l.Control, 20)
	defF(&l.ControlBurst, 100)
	defD(&l.Stall, 5*time.Second)
	defD(&l.Idle, time.Minute)
	defD(&l.Age, time.Hour)
	if l.Held <= 0 {
		l.Held = 1 << 20
	}
	if l.AllHeld <= 0 {
		l.AllHeld = 16 << 20
	}
	return l
}

// Verdict is what becomes of a frame or a connection.
type Verdict int

const (
	Let    Verdict = iota
	Refuse         // this stream: REFUSED_STREAM, it was provably not taken
	GoAway         // the connection takes no more streams and ends once those under way have
	Close          // the connection ends now
)

func (v Verdict) String() string { return [...]string{"let", "refuse", "go away", "close"}[v] }

// Reason says why, for GOAWAY's debug data, logs and counters.
type Reason string

const (
	TooManyStreams Reason = "too many streams open"
	Full           Reason = "all places for streams are taken"
	ResetFlood     Reason = "too many resets"
	OrphanFlood    Reason = "too much work left behind by resets"
	ControlFlood   Reason = "too many control frames"
	SlowReader     Reason = "the reader moves nothing"
	MemoryHeld     Reason = "answers that wait for readers take too much memory"
	Idle           Reason = "idle"
	Old            Reason = "old"
	Leaving        Reason = "asked to go away"
)

// ID names a connection, StreamID a stream on it.
type (
	ID       uint64
	StreamID uint32
)

// Action is asked of the front beside the verdict on an event.
type Action struct {
	Conn    ID
	Verdict Verdict // GoAway or Close
	Reason  Reason
}

type conn struct {
	id      ID
	began   time.Time
	streams map[StreamID]*stream
	orphans int
	resets  bucket
	control bucket
	held    int64
	moved   time.Time // last time that its reader took bytes, or nothing was held
	busy    time.Time // last time that a stream was open
	leaving bool
}

type stream struct {
	held  int64
	ended bool // answered; its bytes may still wait for the reader
}

// bucket is a token bucket; zero is full.
type bucket struct {
	spent float64
	at    time.Time
}

func (b *bucket) take(now time.Time, rate, burst float64) bool {
	b.spent = max(0, b.spent-rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}

// Table is the state of all connections of a front. Use New.
type Table struct {
	limits  Limits
	conns   map[ID]*conn
	streams int
	held    int64
	Counts  map[Reason]int64 // verdicts other than Let, by reason
}

// New makes an empty Table.
func New(l Limits) *Table {
	return &Table{limits: l.filled(), conns: map[ID]*conn{}, Counts: map[Reason]int64{}}
}

// Opened takes a new connection.
func (t *Table) Opened(now time.Time, id ID) {
	t.conns[id] = &conn{id: id, began: now, moved: now, busy: now, streams: map[StreamID]*stream{}}
}

// Closed takes a connection's end. The calls under way for its streams are the front's to call off.
func (t *Table) Closed(id ID) {
	if c := t.conns[id]; c != nil {
		t.streams -= len(c.streams)
		t.held -= c.held
		delete(t.conns, id)
	}
}

func (t *Table) say(v Verdict, r Reason) (Verdict, Reason) {
	t.Counts[r]++
	return v, r
}

// Request takes a stream that a client opens.
func (t *Table) Request(now time.Time, id ID, s StreamID) (Verdict, Reason) {
	c := t.conns[id]
	switch {
	case c == nil || c.leaving:
		return t.say(Refuse, Leaving)
	case len(c.streams) >= t.limits.Streams:
		return t.say(Refuse, TooManyStreams)
	case t.streams >= t.limits.AllStreams:
		return t.say(Refuse, Full)
	case c.orphans >= t.limits.Orphans:
		return t.say(Refuse, OrphanFlood)
	}
	c.streams[s] = &stream{}
	t.streams++
	c.busy = now
	return Let, ""
}

// Answered takes a call's end: bytes of its answer now wait for the reader. 0 ends the stream.
func (t *Table) Answered(now time.Time, id ID, s StreamID, bytes int64) (Verdict, Reason) {
	c := t.conns[id]
	if c == nil || c.streams[s] == nil {
		return Let, ""
	}
	x := c.streams[s]
	x.ended = true
	if bytes <= 0 {
		t.drop(now, c, s)
		return Let, ""
	}
	if c.held == 0 {
		c.moved = now
	}
	x.held += bytes
	c.held += bytes
	t.held += bytes
	if c.held > t.limits.Held {
		c.leaving = true
		return t.say(Close, MemoryHeld)
	}
	return Let, ""
}

// Moved takes bytes of an answer that the reader took. The stream ends with its last byte.
func (t *Table) Moved(now time.Time, id ID, s StreamID, bytes int64) {
	c := t.conns[id]
	if c == nil || c.streams[s] == nil || bytes <= 0 {
		return
	}
	x := c.streams[s]
	bytes = min(bytes, x.held)
	x.held -= bytes
	c.held -= bytes
	t.held -= bytes
	c.moved = now
	if x.ended && x.held == 0 {
		t.drop(now, c, s)
	}
}

func (t *Table) drop(now time.Time, c *conn, s StreamID) {
	x := c.streams[s]
	c.held -= x.held
	t.held -= x.held
	delete(c.streams, s)
	t.streams--
	c.busy = now
}

// Reset takes a client's reset of a stream. orphan: work goes on for it that cannot be called off; Orphaned tells when
// that has ended. A reset that crosses the answer is no orphan.
func (t *Table) Reset(now time.Time, id ID, s StreamID, orphan bool) (Verdict, Reason) {
	c := t.conns[id]
	if c == nil {
		return Let, ""
	}
	if x := c.streams[s]; x != nil {
		if orphan && !x.ended {
			c.orphans++
		}
		t.drop(now, c, s)
		if c.orphans > t.limits.Orphans { // streams open before the bound was reached: the client is told to go
			c.leaving = true
			return t.say(GoAway, OrphanFlood)
		}
	}
	if !c.resets.take(now, t.limits.Resets, t.limits.ResetBurst) {
		c.leaving = true
		return t.say(GoAway, ResetFlood)
	}
	return Let, ""
}

// Orphaned takes the end of work that a reset left behind.
func (t *Table) Orphaned(id ID) {
	if c := t.conns[id]; c != nil && c.orphans > 0 {
		c.orphans--
	}
}

// Control takes a frame that asks for work and opens nothing: SETTINGS, PING, PRIORITY, empty DATA.
func (t *Table) Control(now time.Time, id ID) (Verdict, Reason) {
	c := t.conns[id]
	if c == nil || c.control.take(now, t.limits.Control, t.limits.ControlBurst) {
		return Let, ""
	}
	c.leaving = true
	return t.say(Close, ControlFlood)
}

// Leave has a connection take no more streams, as at a drain.
func (t *Table) Leave(id ID) {
	if c := t.conns[id]; c != nil {
		c.leaving = true
	}
}

// Tick looks for what time alone decides: readers that stand still, idle and old connections, and memory used up over
// all, for which the connection that holds most and has moved nothing for longest gives way.
func (t *Table) Tick(now time.Time) (out []Action) {
	end := func(c *conn, v Verdict, r Reason) {
		c.leaving = true
		t.Counts[r]++
		out = append(out, Action{c.id, v, r})
	}
	left := t.held
	ids := slices.Sorted(maps.Keys(t.conns)) // the same actions for the same events
	for _, id := range ids {
		c := t.conns[id]
		switch {
		case c.held > 0 && now.Sub(c.moved) >= t.limits.Stall:
			left -= c.held
			end(c, Close, SlowReader)
		case len(c.streams) == 0 && now.Sub(c.busy) >= t.limits.Idle:
			end(c, Close, Idle)
		case !c.leaving && now.Sub(c.began) >= t.limits.Age:
			end(c, GoAway, Old)
		}
	}
	for left > t.limits.AllHeld {
		var worst *conn
		most := 0.0
		for _, id := range ids {
			c := t.conns[id]
			weight := float64(c.held) * (1 + now.Sub(c.moved).Seconds())
			if c.held > 0 && !closed(out, id) && weight > most {
				worst, most = c, weight
			}
		}
		if worst == nil {
			break
		}
		left -= worst.held
		end(worst, Close, MemoryHeld)
	}
	return out
}

func closed(as []Action, id ID) bool {
	for _, a := range as {
		if a.Conn == id && a.Verdict == Close {
			return true
		}
	}
	return false
}

// Open counts the streams open, Held the bytes that wait for readers, over all connections.
func (t *Table) Open() int   { return t.streams }
func (t *Table) Held() int64 { return t.held }
