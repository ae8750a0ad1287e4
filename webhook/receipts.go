package webhook

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"oakthread"
)

// Statuses of a receipt, as stored. If a receipt still has the status running when the state file
// is opened, the process that executed the call was interrupted, and whether the call took effect
// is unknown.
const (
	statusRunning  = "running"
	statusServed   = "served"
	statusRejected = "refused"
	statusFailed   = "failed"
	statusTimedOut = "timed out"
)

var outcomeByStatus = map[string]oakthread.Outcome{
	statusServed:   oakthread.Served,
	statusRejected: oakthread.Rejected,
	statusFailed:   oakthread.Failed,
	statusTimedOut: oakthread.TimedOut,
}

// maxTimestamps limits the timestamps of signed deliveries that are kept per message. A sender that
// signs a message again more often than that within the tolerance is assumed to be in a loop.
const maxTimestamps = 128

// Errors of a delivery that is not admitted. The texts of errReplayed and errBodyMismatch are sent
// to the sender in the response.
var (
	errReplayed     = errors.New("this signature was seen before")
	errBodyMismatch = errors.New("this id came with another body")
	errStoreFull    = errors.New("receipt limit reached")
	errNoState      = errors.New("the state file has not been taken over yet")
)

var errReceiptMissing = errors.New("receipt is missing")

// receipt is the stored record of a message, by operator and message id.
type receipt struct {
	BodyHash   []byte        `json:"sum"`  // SHA-256; the same id with another body is rejected
	Timestamps []int64       `json:"seen"` // of the deliveries, Unix seconds; a repeated one is a replay
	CallID     string        `json:"call"` // of the last execution
	Class      string        `json:"class"`
	Function   string        `json:"function"`
	Status     string        `json:"status"`
	Body       []byte        `json:"body,omitempty"`
	RetryAfter time.Duration `json:"wait,omitempty"`
	ExpiresAt  time.Time     `json:"expires"`
}

// answer returns the recorded outcome. A receipt without one counts as failed, since its call may
// have taken effect.
func (r *receipt) answer() oakthread.Answer {
	outcome, known := outcomeByStatus[r.Status]
	if !known {
		outcome = oakthread.Failed
	}
	return oakthread.Answer{Outcome: outcome, Body: r.Body, RetryAfter: r.RetryAfter}
}

// addDelivery adds the delivery that fresh describes to the receipt. It returns errBodyMismatch,
// errReplayed, or errStoreFull if there were too many deliveries within the tolerance.
func (r *receipt) addDelivery(fresh receipt, timestamp time.Time) error {
	if !bytes.Equal(r.BodyHash, fresh.BodyHash) {
		return errBodyMismatch
	}
	if slices.Contains(r.Timestamps, timestamp.Unix()) {
		return errReplayed
	}
	r.Timestamps = pruneTimestamps(r.Timestamps)
	if len(r.Timestamps) >= maxTimestamps {
		return errStoreFull
	}
	r.Timestamps = append(r.Timestamps, timestamp.Unix())
	r.ExpiresAt = fresh.ExpiresAt
	return nil
}

// pruneTimestamps returns the timestamps that a receipt keeps: all, as long as there are fewer than
// maxTimestamps, else those recent enough, by the wall clock, that a replay might not be rejected
// as stale.
func pruneTimestamps(timestamps []int64) []int64 {
	if len(timestamps) < maxTimestamps {
		return timestamps
	}
	return slices.DeleteFunc(timestamps, func(seconds int64) bool {
		return time.Since(time.Unix(seconds, 0)) >= 2*Tolerance
	})
}

// receiptKey returns the key of a receipt. Neither an operator's name nor a message id holds a NUL
// byte.
func receiptKey(operator, id string) []byte { return []byte(operator + "\x00" + id) }

// acquireReceipt writes the receipt of a delivery and reports whether its call is to be executed,
// under r.CallID. If it is not, r is the recorded receipt of the message.
//
// fresh describes the delivery. unstarted lists the call ids of earlier receipts whose write
// failed: if the file nevertheless holds one, its execution never started. repeatable reports
// whether a message with a recorded outcome may be executed again.
func (s *Store) acquireReceipt(
	operator, id string, timestamp time.Time, fresh receipt, unstarted []string, repeatable func(receipt) bool,
) (r receipt, start bool, err error) {
	key := receiptKey(operator, id)
	err = s.batch(func(tx *bbolt.Tx) error {
		r, start = receipt{}, false
		bucket := tx.Bucket(receiptBucket)
		known, err := getJSON(bucket, key, &r)
		if err != nil {
			return err
		}
		neverStarted := known && r.Status == statusRunning && slices.Contains(unstarted, r.CallID)
		if !known {
			if err := s.reserveReceipt(tx); err != nil {
				return err
			}
		}
		if !known || neverStarted {
			r, start = fresh, true
			r.Timestamps, r.Status = []int64{timestamp.Unix()}, statusRunning
			return putJSON(bucket, key, r)
		}
		if err := r.addDelivery(fresh, timestamp); err != nil {
			return err
		}
		if r.Status != statusRunning && repeatable(r) {
			r.CallID, r.Status, start = fresh.CallID, statusRunning, true
		}
		return putJSON(bucket, key, r)
	})
	return r, start, err
}

// reserveReceipt counts one more receipt. It returns errStoreFull if there are maxReceipts already.
func (s *Store) reserveReceipt(tx *bbolt.Tx) error {
	count, err := s.addReceiptCount(tx, 1)
	if err != nil {
		return err
	}
	if count > s.maxReceipts {
		return errStoreFull
	}
	return nil
}

// addReceiptCount adds delta to the stored number of receipts and returns the result.
func (s *Store) addReceiptCount(tx *bbolt.Tx, delta int64) (uint64, error) {
	bucket := tx.Bucket(metaBucket)
	var count uint64
	if raw := bucket.Get(receiptCountKey); len(raw) == 8 {
		count = binary.BigEndian.Uint64(raw)
	}
	count = uint64(max(0, int64(count)+delta))
	if delta == 0 {
		return count, nil
	}
	return count, bucket.Put(receiptCountKey, binary.BigEndian.AppendUint64(nil, count))
}

// recordOutcome records the outcome of an execution and, in the same transaction, enqueues its
// notification. n may be nil.
func (s *Store) recordOutcome(operator, id string, answer oakthread.Answer, n *notification) error {
	key := receiptKey(operator, id)
	return s.batch(func(tx *bbolt.Tx) error {
		var r receipt
		bucket := tx.Bucket(receiptBucket)
		known, err := getJSON(bucket, key, &r)
		if err != nil || !known {
			return errors.Join(err, errReceiptMissing)
		}
		r.Status, r.Body, r.RetryAfter = answer.Outcome.String(), answer.Body, answer.RetryAfter
		if err := putJSON(bucket, key, r); err != nil {
			return err
		}
		return enqueue(tx, n)
	})
}

// failInterrupted records the calls that an earlier process left running as failed, because they
// may have taken effect, and returns their number. newNotification returns the notification of
// such a call, or nil.
func (s *Store) failInterrupted(
	newNotification func(operator, id string, r receipt) *notification,
) (count int, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		interrupted, err := runningReceipts(tx)
		for key, r := range interrupted {
			r.Status = statusFailed
			operator, id, _ := bytes.Cut([]byte(key), []byte{0})
			n := newNotification(string(operator), string(id), r)
			err = errors.Join(err, putJSON(tx.Bucket(receiptBucket), []byte(key), r), enqueue(tx, n))
		}
		count = len(interrupted)
		return err
	})
	return count, err
}

// runningReceipts returns the receipts whose call is running, by key.
func runningReceipts(tx *bbolt.Tx) (map[string]receipt, error) {
	running := map[string]receipt{}
	err := tx.Bucket(receiptBucket).ForEach(func(key, raw []byte) error {
		var r receipt
		if err := json.Unmarshal(raw, &r); err != nil {
			return err
		}
		if r.Status == statusRunning {
			running[string(key)] = r
		}
		return nil
	})
	return running, err
}

// prune deletes expired receipts, and abandoned notifications that are older than retention. It
// returns the number of receipts deleted.
func (s *Store) prune(now time.Time, retention time.Duration) (dropped int, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		dropped, err = deleteWhere(tx.Bucket(receiptBucket), func(r receipt) bool {
			return r.Status != statusRunning && now.After(r.ExpiresAt)
		})
		if err != nil {
			return err
		}
		_, err = deleteWhere(tx.Bucket(abandonedBucket), func(n notification) bool {
			return now.Sub(n.CreatedAt) > retention
		})
		if err != nil {
			return err
		}
		_, err = s.addReceiptCount(tx, -int64(dropped))
		return err
	})
	return dropped, err
}

// deleteWhere deletes the records of a bucket that match and returns their number.
func deleteWhere[T any](bucket *bbolt.Bucket, match func(T) bool) (deleted int, err error) {
	cursor := bucket.Cursor()
	for key, raw := cursor.First(); key != nil; key, raw = cursor.Next() {
		var value T
		if err := json.Unmarshal(raw, &value); err != nil {
			return deleted, err
		}
		if !match(value) {
			continue
		}
		if err := cursor.Delete(); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
