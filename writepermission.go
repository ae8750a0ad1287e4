package oakthread

import (
	"context"
	"errors"
	"sync"

	"oakthread/internal/mutant"
	"oakthread/rules"
)

// Causes with which the context of an attempt or load order is cancelled.
var (
	errAttemptCancelled = errors.New("called off")
	errAttemptRevoked   = errors.New("revoked before anything was written")
)

// writePermission decides whether the first byte of an attempt or load order may be written. It is
// revoked when the caller leaves, when the request completes, and when the worker drains, is
// removed or restarts; it is denied once the worker's lease has run out. Whichever comes first, the
// revocation or the write, wins: a revocation after the first byte has no effect. It is safe for concurrent use.
type writePermission struct {
	caller     context.Context         // ends when the caller leaves
	callerGone func() bool             // reports whether the caller has left; nil if only the context shows it
	cancel     context.CancelCauseFunc // ends the attempt
	leaseHolds func() bool             // reports whether the worker's lease holds; nil if it needs none

	mu             sync.Mutex
	begun, revoked bool
}

// begin reports whether the first byte may be written now. It is asked again for a further
// connection if nothing was written on the one before.
func (p *writePermission) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	write := rules.Write{CallerLeft: p.callerLeft(), Revoked: p.revoked, LeaseExpired: p.leaseExpired()}
	p.begun = rules.MayWrite(write).OK()
	return p.begun
}

// leaseExpired reports whether the worker's lease has run out.
func (p *writePermission) leaseExpired() bool { return p.leaseHolds != nil && !p.leaseHolds() }

// callerLeft reports whether the caller has left, by its context or by its connection.
func (p *writePermission) callerLeft() bool {
	return p.caller.Err() != nil || p.callerGone != nil && p.callerGone()
}

// revoke denies every further write, and cancels the attempt if nothing of it has been written.
func (p *writePermission) revoke() {
	p.mu.Lock()
	p.revoked = true
	begun := p.begun
	p.mu.Unlock()
	if !begun && !mutant.On(mutant.CallerLeft) && !mutant.On(mutant.Revoked) {
		p.cancel(errAttemptRevoked)
	}
}
