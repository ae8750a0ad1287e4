package oakthread

import (
	"context"
	"errors"
	"sync"

	"oakthread/internal/mutant"
	"oakthread/rules"
)

// Causes for which the context of an attempt or load order is cancelled.
var (
	errAttemptCancelled = errors.New("called off")
	errAttemptRevoked   = errors.New("revoked before anything was written")
)

// writePermission decides whether the first byte of an attempt or load order may be written. It is
// revoked when the caller leaves, when the request completes, and when the worker drains, is
// removed, restarts or has a new address; it is denied once the worker's lease has expired. A
// revocation before the first byte cancels the attempt or load order. A later one does not, but
// denies the write on another connection. A writePermission is safe for concurrent use.
type writePermission struct {
	caller     context.Context         // ends when the caller leaves
	callerGone func() bool             // whether the caller has left; nil if only the context shows it
	cancel     context.CancelCauseFunc // cancels the attempt or load order
	leaseHolds func() bool             // whether the worker's lease is valid; nil if none is needed
	claim      func() bool             // claims the request's ID, once all else allows the write; nil: not needed

	mu             sync.Mutex
	begun, revoked bool
}

// begin reports whether the first byte may be written now. It is called again for another
// connection if nothing was written on the previous one.
func (p *writePermission) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	write := rules.Write{CallerLeft: p.callerLeft(), Revoked: p.revoked, LeaseExpired: p.leaseExpired()}
	p.begun = rules.MayWrite(write).OK() && (p.claim == nil || p.claim())
	return p.begun
}

// leaseExpired reports whether the worker's lease has expired.
func (p *writePermission) leaseExpired() bool { return p.leaseHolds != nil && !p.leaseHolds() }

// callerLeft reports whether the caller has left, according to its context or its connection.
func (p *writePermission) callerLeft() bool {
	if p.caller.Err() != nil {
		return true
	}
	if p.callerGone == nil {
		return false
	}
	// A connection that is closed at this end shows nothing any more. The context ends before that,
	// so it is asked again after the connection.
	return p.callerGone() || p.caller.Err() != nil
}

// revoke denies all further writes, and cancels the attempt or load order if nothing has been
// written.
func (p *writePermission) revoke() {
	p.mu.Lock()
	p.revoked = true
	begun := p.begun
	p.mu.Unlock()
	if !begun && !mutant.On(mutant.CallerLeft) && !mutant.On(mutant.Revoked) {
		p.cancel(errAttemptRevoked)
	}
}
