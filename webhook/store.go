package webhook

import (
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Buckets of the state file. Their names and the JSON encoding of their records are the storage
// format.
var (
	receiptBucket     = []byte("receipts") // operator, NUL, message id: receipt
	outboxBucket      = []byte("outbox")   // due time, notification id: notification
	outboxIndexBucket = []byte("queued")   // notification id: key in the outbox
	abandonedBucket   = []byte("aside")    // notification id: abandoned notification
	metaBucket        = []byte("meta")     // number of receipts
	receiptCountKey   = []byte("receipts") // in metaBucket: 64-bit big endian
)

const (
	openTimeout   = time.Second          // for the lock of a state file that another process has open
	maxBatchDelay = 2 * time.Millisecond // bounds how long a write waits for others to share its sync
)

// database is the part of bbolt that a Store uses. Tests replace it with one whose writes fail.
type database interface {
	Update(func(*bbolt.Tx) error) error
	Batch(func(*bbolt.Tx) error) error
	View(func(*bbolt.Tx) error) error
	Sync() error
	Close() error
}

// Store is the state file. It holds the receipts of messages and the outbox of notifications. Every
// change is synced to disk before the method that makes it returns. Only one process can have the
// file open at a time.
type Store struct {
	db          database
	maxReceipts uint64
}

// OpenStore opens the state file at path, or creates it. It holds at most maxReceipts receipts. It
// returns an error if another process keeps the file open for openTimeout.
func OpenStore(path string, maxReceipts int) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	if err := db.Update(createBuckets); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	return &Store{db: db, maxReceipts: uint64(maxReceipts)}, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range [][]byte{receiptBucket, outboxBucket, outboxIndexBucket, abandonedBucket, metaBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the state file.
func (s *Store) Close() error { return s.db.Close() }

// getJSON decodes the record at key into value and reports whether there is one.
func getJSON(bucket *bbolt.Bucket, key []byte, value any) (found bool, err error) {
	raw := bucket.Get(key)
	if raw == nil {
		return false, nil
	}
	return true, json.Unmarshal(raw, value)
}

// putJSON writes value as the record at key.
func putJSON(bucket *bbolt.Bucket, key []byte, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}
