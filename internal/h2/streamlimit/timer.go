package streamlimit

import (
	"maps"
	"slices"
	"time"
)

// timerPass is one pass of HandleTimer over the connections.
type timerPass struct {
	table    *Table
	now      time.Time
	ids      []ConnID // sorted, so that the same events lead to the same actions
	actions  []Action
	buffered int64 // bytes buffered by the connections that the pass has not closed
}

// HandleTimer closes connections that are stalled or idle, and sends GOAWAY on those that have
// reached their maximum age. While more than TotalBuffered bytes are buffered, it also closes the
// connection with the most buffered bytes, weighted by the time since its client last read. The
// caller executes the actions returned.
func (t *Table) HandleTimer(now time.Time) []Action {
	pass := &timerPass{table: t, now: now, ids: slices.Sorted(maps.Keys(t.conns)), buffered: t.buffered}
	for _, id := range pass.ids {
		pass.checkTimeouts(t.conns[id])
	}
	for pass.buffered > t.limits.TotalBuffered {
		conn := pass.heaviest()
		if conn == nil {
			break
		}
		pass.buffered -= conn.buffered
		pass.end(conn, CloseConn, TooMuchBuffered)
	}
	return pass.actions
}

// checkTimeouts ends a connection that is stalled, idle or too old.
func (p *timerPass) checkTimeouts(conn *connState) {
	limits := p.table.limits
	switch {
	case conn.isStalled(p.now, limits.StallTimeout):
		p.buffered -= conn.buffered
		p.end(conn, CloseConn, SlowReader)
	case conn.isIdle(p.now, limits.IdleTimeout):
		p.end(conn, CloseConn, Idle)
	case !conn.draining && p.now.Sub(conn.opened) >= limits.MaxAge:
		p.end(conn, GoAway, MaxAgeReached)
	}
}

// heaviest returns the connection with the greatest bufferWeight among those that the pass has not
// closed, nil if none of them has bytes buffered.
func (p *timerPass) heaviest() *connState {
	var heaviest *connState
	greatest := 0.0
	for _, id := range p.ids {
		conn := p.table.conns[id]
		if weight := conn.bufferWeight(p.now); conn.buffered > 0 && !p.isClosed(id) && weight > greatest {
			heaviest, greatest = conn, weight
		}
	}
	return heaviest
}

// end adds an action that ends a connection, which accepts no more streams from now on.
func (p *timerPass) end(conn *connState, decision Decision, reason Reason) {
	conn.draining = true
	p.table.Rejections[reason]++
	p.actions = append(p.actions, Action{conn.id, decision, reason})
}

// isClosed reports whether the pass has closed a connection.
func (p *timerPass) isClosed(id ConnID) bool {
	return slices.ContainsFunc(p.actions, func(action Action) bool {
		return action.Conn == id && action.Decision == CloseConn
	})
}
