package webhook

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
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
	openTimeout   = time.Second          // for a state file that another process has open
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

// ErrStateInUse states that another process has the state file open.
var ErrStateInUse = errors.New("in use by another process")

// Store is the state file. It holds the receipts of messages and the outbox of notifications. Every
// change is synced to disk before the method that makes it returns. Only one process can have the
// file open at a time; see spool.go for what another one does meanwhile.
type Store struct {
	maxReceipts uint64

	mu        sync.RWMutex // held for reading during a transaction, for writing while db is replaced
	db        database
	spoolPath string // path of the spool that db is; empty: db is the state file
}

// OpenStore opens the state file at path, or creates it. It holds at most maxReceipts receipts. It
// returns ErrStateInUse if another process keeps the file open for openTimeout.
func OpenStore(path string, maxReceipts int) (*Store, error) {
	db, err := openDatabase(path, openTimeout)
	if err != nil {
		return nil, err
	}
	return &Store{db: db, maxReceipts: uint64(maxReceipts)}, nil
}

// openDatabase opens or creates the file at path. It returns ErrStateInUse if another process keeps
// it open for timeout.
func openDatabase(path string, timeout time.Duration) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: timeout})
	if errors.Is(err, berrors.ErrTimeout) {
		err = ErrStateInUse
	}
	if err != nil {
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	if err := db.Update(createBuckets); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("state file %s: %w", path, err)
	}
	return db, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range [][]byte{receiptBucket, outboxBucket, outboxIndexBucket, abandonedBucket, metaBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// update runs a transaction that changes the file.
func (s *Store) update(change func(*bbolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.Update(change)
}

// batch is update for a change that shares its sync with those of other goroutines. change may run
// more than once.
func (s *Store) batch(change func(*bbolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.Batch(change)
}

// view runs a transaction that reads the file.
func (s *Store) view(read func(*bbolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.View(read)
}

// Close closes the file. A spool without notifications is removed.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoolPath == "" {
		return s.db.Close()
	}
	left, err := readNotifications(s.db)
	if err == nil && left.isEmpty() {
		err = os.Remove(s.spoolPath)
	}
	return errors.Join(err, s.db.Close())
}

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
