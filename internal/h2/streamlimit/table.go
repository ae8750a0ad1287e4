// Package streamlimit limits the streams, resets, control frames and buffered response bytes of the
// connections of an HTTP/2 server (RFC 9113), per connection and in total. A Table is a
// single-threaded state machine: it is given events with their time and returns decisions; it has
// no clock, goroutine or I/O. No server uses it yet.
package streamlimit

import "time"

// Table is the state of all connections of a server. Use New to create one. It is not safe for
// concurrent use.
type Table struct {
	limits      Limits
	conns       map[ConnID]*connState
	openStreams int
	buffered    int64
	Rejections  map[Reason]int64 // decisions other than Allow, by reason
}

// New returns an empty Table.
func New(limits Limits) *Table {
	return &Table{limits: limits.withDefaults(), conns: map[ConnID]*connState{}, Rejections: map[Reason]int64{}}
}

// OpenStreams returns the number of streams open on all connections.
func (t *Table) OpenStreams() int { return t.openStreams }

// BufferedBytes returns the response bytes buffered on all connections.
func (t *Table) BufferedBytes() int64 { return t.buffered }

// HandleOpen handles a new connection.
func (t *Table) HandleOpen(now time.Time, id ConnID) {
	t.conns[id] = &connState{
		id: id, opened: now, lastWritten: now, lastStream: now, streams: map[StreamID]*streamState{},
	}
}

// HandleClose handles the end of a connection. Cancelling the requests in flight on its streams is
// up to the server.
func (t *Table) HandleClose(id ConnID) {
	if conn := t.conns[id]; conn != nil {
		t.openStreams -= len(conn.streams)
		t.buffered -= conn.buffered
		delete(t.conns, id)
	}
}

// HandleRequest handles a request with which a client opens a stream.
func (t *Table) HandleRequest(now time.Time, id ConnID, stream StreamID) (Decision, Reason) {
	conn := t.conns[id]
	switch {
	case conn == nil || conn.draining:
		return t.reject(RefuseStream, Draining)
	case len(conn.streams) >= t.limits.StreamsPerConn:
		return t.reject(RefuseStream, TooManyStreams)
	case t.openStreams >= t.limits.TotalStreams:
		return t.reject(RefuseStream, TooManyTotalStreams)
	case conn.orphans >= t.limits.OrphansPerConn:
		return t.reject(RefuseStream, OrphanFlood)
	}
	conn.streams[stream] = &streamState{}
	t.openStreams++
	conn.lastStream = now
	return Allow, ""
}

// HandleResponse handles a complete response, of which the given number of bytes is buffered for
// the client. If that is 0, the stream ends.
func (t *Table) HandleResponse(now time.Time, id ConnID, stream StreamID, bytes int64) (Decision, Reason) {
	conn := t.conns[id]
	if conn == nil || conn.streams[stream] == nil {
		return Allow, ""
	}
	state := conn.streams[stream]
	state.responded = true
	if bytes <= 0 {
		t.closeStream(now, conn, stream)
		return Allow, ""
	}
	if conn.buffered == 0 {
		conn.lastWritten = now
	}
	state.buffered += bytes
	conn.buffered += bytes
	t.buffered += bytes
	if conn.buffered > t.limits.BufferedPerConn {
		conn.draining = true
		return t.reject(CloseConn, TooMuchBuffered)
	}
	return Allow, ""
}

// HandleWritten handles bytes of a response that the client has read. The stream ends after the
// last byte of its response.
func (t *Table) HandleWritten(now time.Time, id ConnID, stream StreamID, bytes int64) {
	conn := t.conns[id]
	if conn == nil || conn.streams[stream] == nil || bytes <= 0 {
		return
	}
	state := conn.streams[stream]
	bytes = min(bytes, state.buffered)
	state.buffered -= bytes
	conn.buffered -= bytes
	t.buffered -= bytes
	conn.lastWritten = now
	if state.responded && state.buffered == 0 {
		t.closeStream(now, conn, stream)
	}
}

// HandleReset handles a client's reset of a stream. orphan means that its request cannot be
// cancelled and continues to run until HandleOrphanEnd. A reset after a complete response leaves no
// orphan.
func (t *Table) HandleReset(now time.Time, id ConnID, stream StreamID, orphan bool) (Decision, Reason) {
	conn := t.conns[id]
	if conn == nil {
		return Allow, ""
	}
	if state := conn.streams[stream]; state != nil {
		if orphan && !state.responded {
			conn.orphans++
		}
		t.closeStream(now, conn, stream)
		if conn.orphans > t.limits.OrphansPerConn { // streams opened before the limit was reached
			conn.draining = true
			return t.reject(GoAway, OrphanFlood)
		}
	}
	if !conn.resets.take(now, t.limits.ResetRate, t.limits.ResetBurst) {
		conn.draining = true
		return t.reject(GoAway, ResetFlood)
	}
	return Allow, ""
}

// HandleOrphanEnd handles the end of a request whose stream was reset.
func (t *Table) HandleOrphanEnd(id ConnID) {
	if conn := t.conns[id]; conn != nil && conn.orphans > 0 {
		conn.orphans--
	}
}

// HandleControlFrame handles a frame that causes work without opening a stream: SETTINGS, PING,
// PRIORITY or an empty DATA.
func (t *Table) HandleControlFrame(now time.Time, id ConnID) (Decision, Reason) {
	conn := t.conns[id]
	if conn == nil || conn.control.take(now, t.limits.ControlRate, t.limits.ControlBurst) {
		return Allow, ""
	}
	conn.draining = true
	return t.reject(CloseConn, ControlFlood)
}

// Drain makes a connection refuse new streams.
func (t *Table) Drain(id ConnID) {
	if conn := t.conns[id]; conn != nil {
		conn.draining = true
	}
}

// reject counts a decision other than Allow.
func (t *Table) reject(decision Decision, reason Reason) (Decision, Reason) {
	t.Rejections[reason]++
	return decision, reason
}

// closeStream removes a stream and subtracts its buffered bytes from the totals.
func (t *Table) closeStream(now time.Time, conn *connState, stream StreamID) {
	buffered := conn.streams[stream].buffered
	conn.buffered -= buffered
	t.buffered -= buffered
	delete(conn.streams, stream)
	t.openStreams--
	conn.lastStream = now
}
