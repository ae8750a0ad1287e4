package webhook

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"time"

	"go.etcd.io/bbolt"
)

// notification is a message to an operator about a completion. Its ID and Body are the same in all
// deliveries.
type notification struct {
	ID        string    `json:"id"`
	Operator  string    `json:"operator"`
	Body      []byte    `json:"body"`
	CreatedAt time.Time `json:"made"`
	Attempts  int       `json:"tries"`
	// TotalBackoff is the sum of the waits between attempts. Unlike a difference of times it does
	// not grow by a step of the clock or while no process runs.
	TotalBackoff time.Duration `json:"waited,omitempty"`
}

// enqueue adds a notification to the outbox, due at once, unless one with its id is queued already.
// n may be nil.
func enqueue(tx *bbolt.Tx, n *notification) error {
	if n == nil || tx.Bucket(outboxIndexBucket).Get([]byte(n.ID)) != nil {
		return nil
	}
	return schedule(tx, n, n.CreatedAt)
}

// schedule adds a notification to the outbox and its index.
func schedule(tx *bbolt.Tx, n *notification, due time.Time) error {
	key := append(binary.BigEndian.AppendUint64(nil, uint64(due.UnixNano())), n.ID...)
	if err := putJSON(tx.Bucket(outboxBucket), key, n); err != nil {
		return err
	}
	return tx.Bucket(outboxIndexBucket).Put([]byte(n.ID), key)
}

// unschedule removes a notification from the outbox and its index, if it is there.
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

// dueTime returns the due time in a key of the outbox.
func dueTime(key []byte) time.Time { return time.Unix(0, int64(binary.BigEndian.Uint64(key))) }

// enqueue adds notifications to the outbox, due at once.
func (s *Store) enqueue(notifications []*notification) error {
	return s.update(func(tx *bbolt.Tx) error {
		for _, n := range notifications {
			if err := enqueue(tx, n); err != nil {
				return err
			}
		}
		return nil
	})
}

// due returns the notifications that are due and for which want returns true, in the order of their
// due times, and the due time of the first that is not yet due; zero if there is none.
func (s *Store) due(now time.Time, want func(*notification) bool) (ready []*notification, next time.Time, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(outboxBucket).Cursor()
		for key, raw := cursor.First(); key != nil; key, raw = cursor.Next() {
			n := &notification{}
			if err := json.Unmarshal(raw, n); err != nil {
				return err
			}
			if due := dueTime(key); due.After(now) {
				next = due
				return nil
			}
			if want(n) {
				ready = append(ready, n)
			}
		}
		return nil
	})
	return ready, next, err
}

// remove removes a notification that was delivered.
func (s *Store) remove(id string) error {
	return s.batch(func(tx *bbolt.Tx) error { return unschedule(tx, id) })
}

// reschedule makes an undelivered notification due again at the given time.
func (s *Store) reschedule(n *notification, due time.Time) error {
	return s.batch(func(tx *bbolt.Tx) error {
		if err := unschedule(tx, n.ID); err != nil {
			return err
		}
		return schedule(tx, n, due)
	})
}

// abandon moves a notification out of the outbox. It stays in the state file until it is
// pruned.
func (s *Store) abandon(n *notification) error {
	return s.batch(func(tx *bbolt.Tx) error {
		if err := unschedule(tx, n.ID); err != nil {
			return err
		}
		return putJSON(tx.Bucket(abandonedBucket), []byte(n.ID), n)
	})
}

// notificationCounts returns the numbers of notifications that are queued and that were abandoned.
func (s *Store) notificationCounts() (queued, abandoned int, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		queued = tx.Bucket(outboxIndexBucket).Stats().KeyN
		abandoned = tx.Bucket(abandonedBucket).Stats().KeyN
		return nil
	})
	return queued, abandoned, err
}

// resetFarSchedule makes notifications due now if their due time is more than maxDelay after now.
// Such a due time was set while the clock was ahead.
func (s *Store) resetFarSchedule(now time.Time, maxDelay time.Duration) error {
	return s.update(func(tx *bbolt.Tx) error {
		var far []*notification
		cursor := tx.Bucket(outboxBucket).Cursor()
		for key, raw := cursor.Last(); key != nil && dueTime(key).Sub(now) > maxDelay; key, raw = cursor.Prev() {
			n := &notification{}
			if err := json.Unmarshal(raw, n); err != nil {
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
