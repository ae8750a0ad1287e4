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
	running  = "running"
	served   = "served"
	refused  = "refused"
	failed   = "failed"
	timedOut = "timed out"
)

var outcomes = map[string]oakthread.Outcome{served: oakthread.Served, refused: oakthread.Rejected,
	failed: oakthread.Failed, timedOut: oakthread.TimedOut}

// receipt is what is kept of a message, by operator and id.
type receipt struct {
	Sum     []byte        `json:"sum"`  // of the body: the same id with another body is another message
	Times   []int64       `json:"seen"` // timestamps seen: the same one again is a replay
	Call    string        `json:"call"` // id of the last try
	Class   string        `json:"class"`
	Key     string        `json:"function"`
	Status  string        `json:"status"`
	Body    []byte        `json:"body,omitempty"`
	Wait    time.Duration `json:"wait,omitempty"`
	Expires time.Time     `json:"expires"`
}

// answer is the recorded outcome. Without one, the call may have had its effect.
func (r *receipt) answer() oakthread.Answer {
	o, known := outcomes[r.Status]
	if !known {
		o = oakthread.Failed
	}
	return oakthread.Answer{Outcome: o, Body: r.Body, RetryAfter: r.Wait}
}

// notice is a settlement on its way to an operator. ID stays the same over all deliveries.
type notice struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Body     []byte    `json:"body"`
	Made     time.Time `json:"made"`
	Tries    int       `json:"tries"`
	// Waited is the sum of the waits between tries, which no step of the clock and no time without a process adds to.
	Waited time.Duration `json:"waited,omitempty"`
}

var (
	receipts = []byte("receipts") // operator NUL id: receipt
	outbox   = []byte("outbox")   // due time, id: notice
	queued   = []byte("queued")   // id: key in outbox
	aside    = []byte("aside")    // id: notice given up
	meta     = []byte("meta")     // how many receipts there are
	countKey = []byte("receipts")
)

var (
	errReplay = errors.New("this signature was seen before")
	errOther  = errors.New("this id came with another body")
	errFull   = errors.New("no room for another receipt")
)

// maxTimes bounds the signatures of one message within the tolerance: a sender that signs anew more often loops.
const maxTimes = 128

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
	db   database
	most uint64
}

// OpenStore opens or makes the state file, for at most so many receipts.
func OpenStore(path string, most int) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	db.MaxBatchDelay = 2 * time.Millisecond
	s := &Store{db: db, most: uint64(most)}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{receipts, outbox, queued, aside, meta} {
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

func get(b *bbolt.Bucket, key []byte, v any) (bool, error) {
	raw := b.Get(key)
	if raw == nil {
		return false, nil
	}
	return true, json.Unmarshal(raw, v)
}

func put(b *bbolt.Bucket, key []byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}

func (s *Store) count(tx *bbolt.Tx, by int64) (uint64, error) {
	b := tx.Bucket(meta)
	var n uint64
	if raw := b.Get(countKey); len(raw) == 8 {
		n = binary.BigEndian.Uint64(raw)
	}
	n = uint64(max(0, int64(n)+by))
	if by == 0 {
		return n, nil
	}
	return n, b.Put(countKey, binary.BigEndian.AppendUint64(nil, n))
}

// take writes a message's receipt ahead of its run. run: it is to be run under r.Call; else r says what is known. unbegun
// names the calls of receipts whose writes failed: where the file has one all the same, its run never began.
func (s *Store) take(op, id string, at time.Time, fresh receipt, unbegun []string, again func(receipt) bool) (r receipt, run bool, err error) {
	err = s.db.Batch(func(tx *bbolt.Tx) error {
		r, run = receipt{}, false
		b, key := tx.Bucket(receipts), receiptKey(op, id)
		known, err := get(b, key, &r)
		if err != nil {
			return err
		}
		void := known && r.Status == running && slices.Contains(unbegun, r.Call)
		if !known || void {
			if !void {
				n, err := s.count(tx, 1)
				if err != nil {
					return err
				}
				if n > s.most {
					return errFull
				}
			}
			r, run = fresh, true
			r.Times, r.Status = []int64{at.Unix()}, running
			return put(b, key, r)
		}
		if !bytes.Equal(r.Sum, fresh.Sum) {
			return errOther
		}
		if slices.Contains(r.Times, at.Unix()) {
			return errReplay
		}
		if r.Times = recent(r.Times); len(r.Times) >= maxTimes {
			return errFull
		}
		r.Times, r.Expires = append(r.Times, at.Unix()), fresh.Expires
		if r.Status != running && again(r) {
			r.Call, r.Status, run = fresh.Call, running, true
		}
		return put(b, key, r)
	})
	return r, run, err
}

// recent are the timestamps that are remembered of a message: all, up to the limit; of more than that, those not refused as
// stale anyway, by the wall clock as it stands.
func recent(times []int64) []int64 {
	if len(times) < maxTimes {
		return times
	}
	return slices.DeleteFunc(times, func(t int64) bool { return time.Since(time.Unix(t, 0)) >= 2*Tolerance })
}

// settle records the outcome of a run and, in the same step, the notice that tells of it.
func (s *Store) settle(op, id string, a oakthread.Answer, n *notice) error {
	return s.db.Batch(func(tx *bbolt.Tx) error {
		var r receipt
		b, key := tx.Bucket(receipts), receiptKey(op, id)
		known, err := get(b, key, &r)
		if err != nil || !known {
			return errors.Join(err, errors.New("receipt is missing"))
		}
		r.Status, r.Body, r.Wait = a.Outcome.String(), a.Body, a.RetryAfter
		if err := put(b, key, r); err != nil {
			return err
		}
		return enqueue(tx, n)
	})
}

// endRunning ends what an earlier process left running. It may have had its effect, so it has failed for good.
func (s *Store) endRunning(tell func(op, id string, r receipt) *notice) (cut int, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(receipts)
		found := map[string]receipt{}
		err := b.ForEach(func(k, v []byte) error {
			var r receipt
			if err := json.Unmarshal(v, &r); err != nil {
				return err
			}
			if r.Status == running {
				r.Status = failed
				found[string(k)] = r
			}
			return nil
		})
		for k, r := range found {
			op, id, _ := bytes.Cut([]byte(k), []byte{0})
			err = errors.Join(err, put(b, []byte(k), r), enqueue(tx, tell(string(op), string(id), r)))
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
		c := tx.Bucket(receipts).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			var r receipt
			if err := json.Unmarshal(v, &r); err != nil {
				return err
			}
			if r.Status != running && now.After(r.Expires) {
				dropped++
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		c = tx.Bucket(aside).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			var n notice
			if err := json.Unmarshal(v, &n); err != nil {
				return err
			}
			if now.Sub(n.Made) > keep {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		_, err := s.count(tx, -int64(dropped))
		return err
	})
	return dropped, err
}

// enqueue adds a notice, due at once; one whose id is queued already is there.
func enqueue(tx *bbolt.Tx, n *notice) error {
	if n == nil || tx.Bucket(queued).Get([]byte(n.ID)) != nil {
		return nil
	}
	return schedule(tx, n, n.Made)
}

func schedule(tx *bbolt.Tx, n *notice, due time.Time) error {
	key := append(binary.BigEndian.AppendUint64(nil, uint64(due.UnixNano())), n.ID...)
	if err := put(tx.Bucket(outbox), key, n); err != nil {
		return err
	}
	return tx.Bucket(queued).Put([]byte(n.ID), key)
}

func unschedule(tx *bbolt.Tx, id string) error {
	key := tx.Bucket(queued).Get([]byte(id))
	if key == nil {
		return nil
	}
	if err := tx.Bucket(outbox).Delete(bytes.Clone(key)); err != nil {
		return err
	}
	return tx.Bucket(queued).Delete([]byte(id))
}

func (s *Store) enqueue(ns []*notice) error {
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
func (s *Store) due(now time.Time, want func(*notice) bool) (ns []*notice, next time.Time, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(outbox).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			n := &notice{}
			if err := json.Unmarshal(v, n); err != nil {
				return err
			}
			if due := dueOf(k); due.After(now) {
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
func (s *Store) delivered(id string) error {
	return s.db.Batch(func(tx *bbolt.Tx) error { return unschedule(tx, id) })
}

func (s *Store) later(n *notice, due time.Time) error {
	return s.db.Batch(func(tx *bbolt.Tx) error {
		if err := unschedule(tx, n.ID); err != nil {
			return err
		}
		return schedule(tx, n, due)
	})
}

func (s *Store) putAside(n *notice) error {
	return s.db.Batch(func(tx *bbolt.Tx) error {
		if err := unschedule(tx, n.ID); err != nil {
			return err
		}
		return put(tx.Bucket(aside), []byte(n.ID), n)
	})
}

// waiting counts the notices not delivered, and those given up.
func (s *Store) waiting() (open, given int, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		open, given = tx.Bucket(queued).Stats().KeyN, tx.Bucket(aside).Stats().KeyN
		return nil
	})
	return open, given, err
}

// soon has notices that are due later than within be due now: they were put off by a clock that stood ahead.
func (s *Store) soon(now time.Time, within time.Duration) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		var far []*notice
		c := tx.Bucket(outbox).Cursor()
		for k, v := c.Last(); k != nil && dueOf(k).Sub(now) > within; k, v = c.Prev() {
			n := &notice{}
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

// dueOf is when the notice of a key in the outbox is due.
func dueOf(key []byte) time.Time { return time.Unix(0, int64(binary.BigEndian.Uint64(key))) }
