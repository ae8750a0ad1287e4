package webhook

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
)

const (
	// answerReserve is how long after its deadline a call may still be answered by the core before
	// it is canceled.
	answerReserve = 5 * time.Second

	// Limits on the call ids that are kept of receipts whose write failed.
	maxUnstartedPerMessage = 64
	maxUnstartedMessages   = 4096
)

// execution is one execution of the call that a message requests. answer is set before done is
// closed.
type execution struct {
	key      string // of the message
	msg      verifiedMessage
	request  oakthread.Request
	class    classes.Class // in force when the message came
	bodyHash []byte

	done   chan struct{}
	answer oakthread.Answer
}

// finishedExecution returns an execution that ended with answer.
func finishedExecution(answer oakthread.Answer) *execution {
	exec := &execution{answer: answer, done: make(chan struct{})}
	close(exec.done)
	return exec
}

// executions holds the executions in progress by message key.
type executions struct {
	// messageLocks are striped by message key. They serialize the deliveries of one message, so
	// that a receipt and its execution change together.
	messageLocks [messageLockCount]sync.Mutex

	mu      sync.Mutex
	running map[string]*execution
	// unstarted holds the call ids of receipts whose write failed, by message. If the file
	// nevertheless holds such a receipt, its execution never started.
	unstarted map[string][]string
}

func newExecutions() *executions {
	return &executions{running: map[string]*execution{}, unstarted: map[string][]string{}}
}

// lockMessage locks a message against its other deliveries and returns the function that releases
// the lock.
func (e *executions) lockMessage(key string) (unlock func()) {
	hash := fnv.New32a()
	hash.Write([]byte(key))
	lock := &e.messageLocks[hash.Sum32()%uint32(len(e.messageLocks))]
	lock.Lock()
	return lock.Unlock
}

// find returns the execution in progress of a message, or nil.
func (e *executions) find(key string) *execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[key]
}

func (e *executions) add(exec *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[exec.key] = exec
}

func (e *executions) remove(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, key)
}

// unstartedCalls returns the call ids of a message's receipts whose write failed.
func (e *executions) unstartedCalls(key string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unstarted[key]
}

// addUnstarted records a call whose receipt could not be written. Beyond the limits it is not
// recorded: if the file nevertheless holds the receipt, the call then counts as failed and is not
// executed.
func (e *executions) addUnstarted(key, callID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := e.unstarted[key]
	if len(calls) < maxUnstartedPerMessage && (calls != nil || len(e.unstarted) < maxUnstartedMessages) {
		e.unstarted[key] = append(calls, callID)
	}
}

func (e *executions) clearUnstarted(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unstarted, key)
}

// admit writes the receipt of a delivery, and starts an execution, joins the one in progress or
// returns the recorded outcome, in which case fromReceipt is true. The error is errReplayed,
// errBodyMismatch or errStoreFull if the delivery is rejected; any other is a failure of the state
// file.
func (rc *Receiver) admit(
	msg verifiedMessage, request oakthread.Request, class classes.Class,
) (_ *execution, fromReceipt bool, err error) {
	hash := sha256.Sum256(msg.body)
	exec := &execution{
		key:      string(receiptKey(msg.operator.Name, msg.id)),
		msg:      msg,
		request:  request,
		class:    class,
		bodyHash: hash[:],
		done:     make(chan struct{}),
	}
	// The lock is held from before the receipt is written until the execution can be found, so that
	// a second delivery finds either neither or both.
	defer rc.executing.lockMessage(exec.key)()
	r, start, err := rc.acquireReceipt(exec)
	if err != nil {
		joined, err := rc.joinWithoutReceipt(exec, err)
		return joined, false, err
	}
	rc.executing.clearUnstarted(exec.key)
	if start {
		rc.counters.executed.Add(1)
		rc.executing.add(exec)
		rc.inProgress.Go(func() { rc.execute(exec) })
		return exec, false, nil
	}
	if running := rc.executing.find(exec.key); running != nil {
		rc.counters.joined.Add(1)
		return running, false, nil
	}
	rc.counters.fromReceipt.Add(1)
	return finishedExecution(r.answer()), true, nil
}

// acquireReceipt writes the receipt of a delivery to the state file and reports whether its call is
// to be executed.
func (rc *Receiver) acquireReceipt(exec *execution) (r receipt, start bool, err error) {
	fresh := receipt{
		BodyHash:  exec.bodyHash,
		CallID:    exec.request.ID,
		Class:     exec.class.Name,
		Function:  exec.request.Key,
		ExpiresAt: monotime.Now().Add(rc.retention),
	}
	// A rejected call had no effect, so the message may be executed when it is delivered again; so
	// may a failed call that is idempotent. Any other outcome is final.
	isIdempotent := exec.class.Rules.Idempotency == balancer.Idempotent
	repeatable := func(r receipt) bool {
		return r.Status == statusRejected || isIdempotent && r.Status != statusServed
	}
	msg := exec.msg
	unstarted := rc.executing.unstartedCalls(exec.key)
	return rc.store.acquireReceipt(msg.operator.Name, msg.id, msg.timestamp, fresh, unstarted, repeatable)
}

// joinWithoutReceipt handles a delivery whose receipt was not written because of cause. If the
// state file failed, the delivery joins an execution of the same message that is still in memory.
func (rc *Receiver) joinWithoutReceipt(exec *execution, cause error) (*execution, error) {
	if errors.Is(cause, errReplayed) || errors.Is(cause, errBodyMismatch) || errors.Is(cause, errStoreFull) {
		return nil, cause
	}
	if running := rc.executing.find(exec.key); running != nil && bytes.Equal(running.bodyHash, exec.bodyHash) {
		rc.counters.joined.Add(1)
		return running, nil
	}
	rc.executing.addUnstarted(exec.key, exec.request.ID)
	return nil, cause
}

// execute runs the call through the core, independently of the connection that delivered the
// message, and records the outcome.
func (rc *Receiver) execute(exec *execution) {
	ctx, cancel := context.WithDeadline(rc.ctx, exec.request.Deadline.Add(answerReserve))
	answer, err := rc.core.Do(ctx, exec.request)
	cancel()
	if err != nil {
		answer = answerForError(err)
	}
	exec.answer = answer
	n := rc.notifier.newNotification(exec.msg.operator.Name, completionData{
		CallID:    exec.request.ID,
		MessageID: exec.msg.id,
		Class:     exec.class.Name,
		Function:  exec.request.Key,
		Outcome:   outcomeText(answer.Outcome),
		Reason:    outcomeReason(answer.Outcome, false),
	}, time.Now())
	rc.recordOutcome(exec, n)
}

// answerForError returns the answer for a call that the core did not answer. Unless the core did
// not accept the call at all, it is unknown whether the call ran, so it counts as failed.
func answerForError(err error) oakthread.Answer {
	if errors.Is(err, oakthread.ErrDuplicate) || errors.Is(err, oakthread.ErrInvalid) {
		return oakthread.Answer{Outcome: oakthread.Rejected}
	}
	return oakthread.Answer{Outcome: oakthread.Failed}
}

// recordOutcome writes the outcome of an execution and its notification to the state file. If the
// write fails, the sender is answered at once, later deliveries are answered from memory, and the
// write is retried until it succeeds, or for shutdownGrace after Close.
func (rc *Receiver) recordOutcome(exec *execution, n *notification) {
	var backoff neterr.Backoff
	var answered sync.Once
	var retryDeadline time.Time // an attempt that fails after this time is final; zero before Close
	for {
		final, err := rc.tryRecordOutcome(exec, n, retryDeadline)
		answered.Do(func() { close(exec.done) })
		if err == nil {
			rc.notifier.wake()
			return
		}
		if final {
			// The receipt still has the status running: after a restart the call is recorded as
			// failed and, unless it is idempotent, not executed again.
			rc.log.Error("webhook outcome lost at shutdown", "request_id", exec.request.ID, "error", err)
			return
		}
		if suppressed, ok := rc.logLimit.Allow(time.Now()); ok {
			rc.log.Error("webhook outcome write failed",
				"request_id", exec.request.ID, "error", err, "suppressed", suppressed)
		}
		select {
		case <-rc.closing:
			if retryDeadline.IsZero() {
				retryDeadline = time.Now().Add(shutdownGrace)
			}
			time.Sleep(backoff.Next())
		case <-time.After(backoff.Next()):
		}
	}
}

// tryRecordOutcome makes one attempt to write an outcome. The execution is removed once the outcome
// is recorded, or if the attempt failed after deadline and is thus the final one. A zero deadline is
// none.
func (rc *Receiver) tryRecordOutcome(exec *execution, n *notification, deadline time.Time) (final bool, err error) {
	defer rc.executing.lockMessage(exec.key)()
	err = rc.store.recordOutcome(exec.msg.operator.Name, exec.msg.id, exec.answer, n)
	final = err == nil || !deadline.IsZero() && time.Now().After(deadline)
	if final {
		rc.executing.remove(exec.key)
	}
	return final, err
}
