package webhook

// This file owns the operator's state file: receipts of messages taken and notices not yet delivered. Every change
// is synced to disk before the call returns. It must never forget a receipt within its time, nor run anything.

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"oakthread"
)

// Statuses of a receipt. A running one that a start finds was cut off: whether it had its effect is not known.
const (
	statusRunning  = "running"
	statusServed   = "served"
	statusRejected = "refused"
	statusFailed   = "failed"
	statusTimedOut = "timed out"
)

var outcomeByStatus = map[string]oakthread.Outcome{statusServed: oakthread.Served, statusRejected: oakthread.Rejected,
	statusFailed: oakthread.Failed, statusTimedOut: oakthread.TimedOut}

// receipt is what is kept of a message, by operator and id.
type receipt struct {
	BodyHash   []byte        `json:"sum"`  // of the body: the same id with another body is another message
	Timestamps []int64       `json:"seen"` // timestamps seen: the same one again is a replay
	CallID     string        `json:"call"` // id of the last try
	Class      string        `json:"class"`
	Function   string        `json:"function"`
	Status     string        `json:"status"`
	Body       []byte        `json:"body,omitempty"`
	RetryAfter time.Duration `json:"wait,omitempty"`
	ExpiresAt  time.Time     `json:"expires"`
}

// answer is the recorded outcome. Without one, the call may have had its effect.
func (r *receipt) answer() oakthread.Answer {
	o, known := outcomeByStatus[r.Status]
	if !known {
		o = oakthread.Failed
	}
	return oakthread.Answer{Outcome: o, Body: r.Body, RetryAfter: r.RetryAfter}
}

// notification is a settlement on its way to an operator. ID stays the same over all deliveries.
type notification struct {
	ID        string    `json:"id"`
	Operator  string    `json:"operator"`
	Body      []byte    `json:"body"`
	CreatedAt time.Time `json:"made"`
	Attempts  int       `json:"tries"`
	// TotalBackoff is the sum of the waits between tries, which no step of the clock and no time without a process adds to.
	TotalBackoff time.Duration `json:"waited,omitempty"`
}

var (
	receiptBucket     = []byte("receipts") // operator NUL id: receipt
	outboxBucket      = []byte("outbox")   // due time, id: notice
	outboxIndexBucket = []byte("queued")   // id: key in outbox
	abandonedBucket   = []byte("aside")    // id: notice given up
	metaBucket        = []byte("meta")     // how many receipts there are
	receiptCountKey   = []byte("receipts")
)

var (
	errReplayed     = errors.New("this signature was seen before")
	errBodyMismatch = errors.New("this id came with another body")
	errStoreFull    = errors.New("no room for another receipt")
)

// maxTimestamps bounds the signatures of one message within the tolerance: a sender that signs anew more often loops.
const maxTimestamps = 128

// database is what the Store asks of bbolt. Tests put one in between whose disk fails.
type database interface {
	Update(func(*bbolt.Tx) error) error
	Batch(func(*bbolt.Tx) error) error
	View(func(*bbolt.Tx) error) error
	Sync() error
	Close() error
}

// Store is the state file. One process has it open at a time.
type Store struct {
	db          database
	maxReceipts uint64
}

// OpenStore opens or makes the state file, for at most so many receipts.
func OpenStore(path string, most int) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	db.MaxBatchDelay = 2 * time.Millisecond
	s := &Store{db: db, maxReceipts: uint64(most)}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{receiptBucket, outboxBucket, outboxIndexBucket, abandonedBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	return s, nil
}

// Close closes the state file.
func (s *Store) Close() error { return s.db.Close() }

func receiptKey(op, id string) []byte { return []byte(op + "\x00" + id) }

func getJSON(b *bbolt.Bucket, key []byte, v any) (bool, error) {
	raw := b.Get(key)
	if raw == nil {
		return false, nil
	}
	return true, json.Unmarshal(raw, v)
}

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}

func (s *Store) addReceiptCount(tx *bbolt.Tx, by int64) (uint64, error) {
	b := tx.Bucket(metaBucket)
	var n uint64
	if raw := b.Get(receiptCountKey); len(raw) == 8 {
		n = binary.BigEndian.Uint64(raw)
	}
	n = uint64(max(0, int64(n)+by))
	if by == 0 {
		return n, nil
	}
	return n, b.Put(receiptCountKey, binary.BigEndian.AppendUint64(nil, n))
}

// acquireReceipt writes a message's receipt ahead of its run. run: it is to be run under r.Call; else r says what is known. unbegun
// names the calls of receipts whose writes failed: where the file has one all the same, its run never began.
func (s *Store) acquireReceipt(op, id string, at time.Time, fresh receipt, unbegun []string, again func(receipt) bool) (r receipt, run bool, err error) {
	err = s.db.Batch(func(tx *bbolt.Tx) error {
		r, run = receipt{}, false
		b, key := tx.Bucket(receiptBucket), receiptKey(op, id)
		known, err := getJSON(b, key, &r)
		if err != nil {
			return err
		}
		void := known && r.Status == statusRunning && slices.Contains(unbegun, r.CallID)
		if !known || void {
			if !void {
				n, err := s.addReceiptCount(tx, 1)
				if err != nil {
					return err
				}
				if n > s.maxReceipts {
					return errStoreFull
				}
			}
			r, run = fresh, true
			r.Timestamps, r.Status = []int64{at.Unix()}, statusRunning
			return putJSON(b, key, r)
		}
		if !bytes.Equal(r.BodyHash, fresh.BodyHash) {
			return errBodyMismatch
		}
		if slices.Contains(r.Timestamps, at.Unix()) {
			return errReplayed
		}
		if r.Timestamps = pruneTimestamps(r.Timestamps); len(r.Timestamps) >= maxTimestamps {
			return errStoreFull
		}
		r.Timestamps, r.ExpiresAt = append(r.Timestamps, at.Unix()), fresh.ExpiresAt
		if r.Status != statusRunning && again(r) {
			r.CallID, r.Status, run = fresh.CallID, statusRunning, true
		}
		return putJSON(b, key, r)
	})
	return r, run, err
}

// pruneTimestamps are the timestamps that are remembered of a message: all, up to the limit; of more than that, those not refused as
// stale anyway, by the wall clock as it stands.
func pruneTimestamps(times []int64) []int64 {
	if len(times) < maxTimestamps {
		return times
	}
	return slices.DeleteFunc(times, func(t int64) bool { return time.Since(time.Unix(t, 0)) >= 2*Tolerance })
}

// recordOutcome records the outcome of a run and, in the same step, the notice that tells of it.
func (s *Store) recordOutcome(op, id string, a oakthread.Answer, n *notification) error {
	return s.db.Batch(func(tx *bbolt.Tx) error {
		var r receipt
		b, key := tx.Bucket(receiptBucket), receiptKey(op, id)
		known, err := getJSON(b, key, &r)
		if err != nil || !known {
			return errors.Join(err, errors.New("receipt is missing"))
		}
		r.Status, r.Body, r.RetryAfter = a.Outcome.String(), a.Body, a.RetryAfter
		if err := putJSON(b, key, r); err != nil {
			return err
		}
		return enqueue(tx, n)
	})
}

// failInterrupted ends what an earlier process left running. It may have had its effect, so it has failed for good.
func (s *Store) failInterrupted(tell func(op, id string, r receipt) *notification) (cut int, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(receiptBucket)
		found := map[string]receipt{}
		err := b.ForEach(func(k, v []byte) error {
			var r receipt
			if err := json.Unmarshal(v, &r); err != nil {
				return err
			}
			if r.Status == statusRunning {
				r.Status = statusFailed
				found[string(k)] = r
			}
			return nil
		})
		for k, r := range found {
			op, id, _ := bytes.Cut([]byte(k), []byte{0})
			err = errors.Join(err, putJSON(b, []byte(k), r), enqueue(tx, tell(string(op), string(id), r)))
		}
		cut = len(found)
		return err
	})
	return cut, err
}

// prune drops receipts whose time is over, and notices put aside before.
func (s *Store) prune(now time.Time, keep time.Duration) (dropped int, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		dropped = 0
		c := tx.Bucket(receiptBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			var r receipt
			if err := json.Unmarshal(v, &r); err != nil {
				return err
			}
			if r.Status != statusRunning && now.After(r.ExpiresAt) {
				dropped++
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		c = tx.Bucket(abandonedBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			var n notification
			if err := json.Unmarshal(v, &n); err != nil {
				return err
			}
			if now.Sub(n.CreatedAt) > keep {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		_, err := s.addReceiptCount(tx, -int64(dropped))
		return err
	})
	return dropped, err
}

// enqueue adds a notice, due at once; one whose id is queued already is there.
func enqueue(tx *bbolt.Tx, n *notification) error {
	if n == nil || tx.Bucket(outboxIndexBucket).Get([]byte(n.ID)) != nil {
		return nil
	}
	return schedule(tx, n, n.CreatedAt)
}

func schedule(tx *bbolt.Tx, n *notification, due time.Time) error {
	key := append(binary.BigEndian.AppendUint64(nil, uint64(due.UnixNano())), n.ID...)
	if err := putJSON(tx.Bucket(outboxBucket), key, n); err != nil {
		return err
	}
	return tx.Bucket(outboxIndexBucket).Put([]byte(n.ID), key)
}

func unschedule(tx *bbolt.Tx, id string) error {
	key := tx.Bucket(outboxIndexBucket).Get([]byte(id))
	if key == nil {
		return nil
	}
	if err := tx.Bucket(outboxBucket).Delete(bytes.Clone(key)); err != nil {
		return err
	}
	return tx.Bucket(outboxIndexBucket).Delete([]byte(id))
}

func (s *Store) enqueue(ns []*notification) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, n := range ns {
			if err := enqueue(tx, n); err != nil {
				return err
			}
		}
		return nil
	})
}

// due lists the notices that are due and wanted, and when the first of those not yet due is.
func (s *Store) due(now time.Time, want func(*notification) bool) (ns []*notification, next time.Time, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(outboxBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			n := &notification{}
			if err := json.Unmarshal(v, n); err != nil {
				return err
			}
			if due := dueTime(k); due.After(now) {
				next = due
				return nil
			}
			if want(n) {
				ns = append(ns, n)
			}
		}
		return nil
	})
	return ns, next, err
}

// delivered, later and putAside end a delivery: done, to be tried again, or given up.
func (s *Store) remove(id string) error {
	return s.db.Batch(func(tx *bbolt.Tx) error { return unschedule(tx, id) })
}

func (s *Store) reschedule(n *notification, due time.Time) error {
	return s.db.Batch(func(tx *bbolt.Tx) error {
		if err := unschedule(tx, n.ID); err != nil {
			return err
		}
		return schedule(tx, n, due)
	})
}

func (s *Store) abandon(n *notification) error {
	return s.db.Batch(func(tx *bbolt.Tx) error {
		if err := unschedule(tx, n.ID); err != nil {
			return err
		}
		return putJSON(tx.Bucket(abandonedBucket), []byte(n.ID), n)
	})
}

// notificationCounts counts the notices not delivered, and those given up.
func (s *Store) notificationCounts() (open, given int, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		open, given = tx.Bucket(outboxIndexBucket).Stats().KeyN, tx.Bucket(abandonedBucket).Stats().KeyN
		return nil
	})
	return open, given, err
}

// resetFarSchedule has notices that are due later than within be due now: they were put off by a clock that stood ahead.
func (s *Store) resetFarSchedule(now time.Time, within time.Duration) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		var far []*notification
		c := tx.Bucket(outboxBucket).Cursor()
		for k, v := c.Last(); k != nil && dueTime(k).Sub(now) > within; k, v = c.Prev() {
			n := &notification{}
			if err := json.Unmarshal(v, n); err != nil {
				return err
			}
			far = append(far, n)
		}
		for _, n := range far {
			if err := unschedule(tx, n.ID); err != nil {
				return err
			}
			if err := schedule(tx, n, now); err != nil {
				return err
			}
		}
		return nil
	})
}

// dueTime is when the notice of a key in the outbox is due.
func dueTime(key []byte) time.Time { return time.Unix(0, int64(binary.BigEndian.Uint64(key))) }
