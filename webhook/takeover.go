package webhook

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"oakthread/internal/filelock"
	"oakthread/internal/neterr"
)

// Two processes share a state file during an upgrade. They hand it over in two steps, each guarded by
// a lock that the kernel releases when its holder ends:
//
//   - The turn, a lock file beside the state file, is held by the process that accepts messages. The
//     next one listens as soon as it gets the turn, shortly before the previous one stops.
//   - The state file itself is locked by the process that has it open. The previous process closes it
//     after its last outcome and notification; the next one then opens it, and admits the messages
//     that have waited at it.
//
// A process without the state file keeps its notifications in a spool.

const (
	// turnSuffix is appended to the path of the state file in that of the lock file of the turn.
	turnSuffix = ".turn"

	// turnOverlap is how long two processes listen at a time: the previous process accepts messages
	// for this long after it has given up the turn.
	turnOverlap = 200 * time.Millisecond

	// statePollInterval is the time between two attempts to open a state file that is in use.
	statePollInterval = 10 * time.Millisecond

	// maxStateWait is how long a message waits for the state file.
	maxStateWait = 10 * time.Second
)

// takeover is how a front obtains the turn and the state file at path.
type takeover struct {
	path string
	turn *filelock.Lock // nil: another process has it

	// awaitsStateFirst is set if the process beside this one is of an earlier release without a turn:
	// it accepts messages until it releases the lock of the state file.
	awaitsStateFirst bool

	ready      chan struct{} // closed once the front has the state file
	gaveUp     chan struct{} // closed once it will not get it any more
	giveUpOnce sync.Once
}

// newTakeover returns the takeover of the state file at path, with the turn if no other process has
// it.
func newTakeover(path string) (*takeover, error) {
	t := &takeover{path: path, ready: make(chan struct{}), gaveUp: make(chan struct{})}
	_, statErr := os.Stat(path + turnSuffix)
	var err error
	t.turn, err = filelock.Try(path + turnSuffix)
	if err != nil && !errors.Is(err, filelock.ErrLocked) {
		return nil, err
	}
	t.awaitsStateFirst = t.turn != nil && errors.Is(statErr, os.ErrNotExist)
	return t, nil
}

// ownedState returns a takeover that is complete, for a state file that no other process uses.
func ownedState() *takeover {
	t := &takeover{ready: make(chan struct{}), gaveUp: make(chan struct{})}
	close(t.ready)
	return t
}

// isReady reports whether the front has the state file.
func (t *takeover) isReady() bool {
	select {
	case <-t.ready:
		return true
	default:
		return false
	}
}

// giveUp has messages that wait for the state file turned away.
func (t *takeover) giveUp() { t.giveUpOnce.Do(func() { close(t.gaveUp) }) }

// awaitTurn waits until this process has the turn. It returns false if ctx ends first.
func (t *takeover) awaitTurn(ctx context.Context) (ok bool, err error) {
	if t.path == "" || t.turn != nil {
		return true, nil
	}
	t.turn, err = filelock.Acquire(ctx, t.path+turnSuffix)
	if errors.Is(err, filelock.ErrLocked) {
		return false, nil
	}
	return err == nil, err
}

// awaitState waits until the front has the state file, but no longer than maxStateWait, and reports
// whether it has.
func (t *takeover) awaitState(ctx context.Context) bool {
	if t.isReady() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, maxStateWait)
	defer cancel()
	select {
	case <-t.ready:
		return true
	case <-t.gaveUp:
	case <-ctx.Done():
	}
	return false
}

// openOwnState opens the state file. If another process uses it, the front gets a spool instead and
// takes the state file over in Serve.
func (f *Front) openOwnState(path string) (err error) {
	if f.takeover, err = newTakeover(path); err != nil {
		return err
	}
	if f.takeover.turn != nil { // whoever opens the state file has the turn
		db, err := openDatabase(path, openTimeout)
		if err == nil {
			f.store = &Store{db: db, maxReceipts: uint64(f.options.MaxReceipts)}
			close(f.takeover.ready)
			return nil
		}
		if !errors.Is(err, ErrStateInUse) {
			return err
		}
	}
	f.log.Info("webhooks: state file in use, to be taken over", "path", path)
	f.store, err = openSpool(path, f.options.MaxReceipts)
	return err
}

// IsStandby reports whether another process still has the state file, so that Serve does not accept
// messages yet.
func (f *Front) IsStandby() bool { return !f.takeover.isReady() }

// listenInTurn waits for the turn, opens the listener and starts to take the state file over. It
// returns nil without an error if ctx ends first.
func (f *Front) listenInTurn(ctx context.Context, listen func() (net.Listener, error)) (net.Listener, error) {
	ok, err := f.takeover.awaitTurn(ctx)
	if err != nil || !ok {
		return nil, err
	}
	if f.takeover.awaitsStateFirst {
		f.takeState(ctx)
		if !f.takeover.isReady() {
			return nil, nil
		}
	} else {
		f.taking.Go(func() { f.takeState(ctx) })
	}
	ln, err := listen()
	if err != nil {
		return nil, fmt.Errorf("webhooks: %w", err)
	}
	return ln, nil
}

// takeState takes the state file over once the process that has it open closes it, until ctx ends.
// Failures are logged and retried.
func (f *Front) takeState(ctx context.Context) {
	if f.takeover.isReady() {
		return
	}
	var backoff neterr.Backoff
	for {
		err := f.tryTakeState()
		if err == nil {
			close(f.takeover.ready)
			f.log.Info("webhooks: state file taken over", "path", f.takeover.path)
			return
		}
		wait := statePollInterval
		if !errors.Is(err, ErrStateInUse) {
			f.log.Error("webhooks: state file not taken over, retrying", "error", err)
			wait = backoff.Next()
		}
		select {
		case <-ctx.Done():
			f.takeover.giveUp()
			return
		case <-time.After(wait):
		}
	}
}

// tryTakeState makes one attempt to open the state file and to put it in the place of the spool.
// It then settles what the previous process left.
func (f *Front) tryTakeState() error {
	if f.store.isSpool() {
		db, err := openDatabase(f.takeover.path, noWait)
		if err != nil {
			return err
		}
		if err := f.store.adopt(db); err != nil {
			return errors.Join(err, db.Close())
		}
	}
	if err := f.notifier.resetSchedule(); err != nil {
		return err
	}
	return f.failInterrupted()
}

// recoverSpools moves the notifications of processes that ended without the state file to it, at
// every tick until ctx is done.
func (f *Front) recoverSpools(ctx context.Context, ticks <-chan time.Time) {
	for {
		if f.takeover.path != "" && f.takeover.isReady() {
			count, err := f.store.recoverSpools(f.takeover.path)
			if err != nil {
				f.log.Error("webhooks: spool not recovered", "error", err)
			}
			if count > 0 {
				f.log.Info("webhooks: notifications recovered from spools", "count", count)
				f.notifier.wake()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}
