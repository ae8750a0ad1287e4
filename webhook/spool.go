package webhook

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.etcd.io/bbolt"
)

// A spool is a file that holds notifications for a process while another one has the state file
// open, such as the next version in an upgrade. The process that has the state file next moves them
// there, also those of a process that was killed.
//
// A spool has the form of the state file. It is open, and so locked, for as long as its process runs
// without the state file.

const (
	// spoolSuffix and a number follow the path of the state file in that of a spool. A spool gets
	// this name once it is locked, so that no other process takes it for one that was left behind.
	spoolSuffix    = ".spool-"
	newSpoolSuffix = ".newspool-"

	// noWait as the time to wait for a lock makes one attempt to get it.
	noWait = time.Nanosecond
)

// openSpool creates a spool beside the state file at statePath.
func openSpool(statePath string, maxReceipts int) (*Store, error) {
	prefix := filepath.Base(statePath) + newSpoolSuffix
	file, err := os.CreateTemp(filepath.Dir(statePath), prefix+"*")
	if err != nil {
		return nil, err
	}
	created := file.Name()
	_ = file.Close()
	db, err := openDatabase(created, noWait)
	if err != nil {
		return nil, errors.Join(err, os.Remove(created))
	}
	path := statePath + spoolSuffix + strings.TrimPrefix(filepath.Base(created), prefix)
	if err := os.Rename(created, path); err != nil {
		return nil, errors.Join(err, db.Close(), os.Remove(created))
	}
	return &Store{db: db, maxReceipts: uint64(maxReceipts), spoolPath: path}, nil
}

// isSpool reports whether the store is a spool.
func (s *Store) isSpool() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.spoolPath != ""
}

// adopt replaces the spool of the store by the state file db, after it has moved the notifications
// there. On an error the spool stays in use.
func (s *Store) adopt(db database) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := moveNotifications(s.db, db, s.spoolPath); err != nil {
		return err
	}
	_ = s.db.Close()
	s.db, s.spoolPath = db, ""
	return nil
}

// recoverSpools moves the notifications of spools whose processes have ended to the state file at
// statePath, which the store has open. It returns their number.
func (s *Store) recoverSpools(statePath string) (count int, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.spoolPath != "" {
		return 0, nil
	}
	entries, err := os.ReadDir(filepath.Dir(statePath))
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), filepath.Base(statePath)+spoolSuffix) {
			continue
		}
		path := filepath.Join(filepath.Dir(statePath), entry.Name())
		moved, spoolErr := recoverSpool(path, s.db)
		if errors.Is(spoolErr, ErrStateInUse) {
			continue // its process runs
		}
		count += moved
		err = errors.Join(err, spoolErr)
	}
	return count, err
}

// recoverSpool moves the notifications of one spool to the state file db.
func recoverSpool(path string, db database) (count int, err error) {
	spool, err := openDatabase(path, noWait)
	if err != nil {
		return 0, err
	}
	defer func() { _ = spool.Close() }()
	found, err := readNotifications(spool)
	if err != nil {
		return 0, err
	}
	return len(found.queued) + len(found.abandoned), moveNotifications(spool, db, path)
}

// spooledNotifications are the notifications of a file.
type spooledNotifications struct {
	queued    []queuedNotification
	abandoned []*notification
}

// queuedNotification is a notification of the outbox.
type queuedNotification struct {
	*notification
	due time.Time
}

func (n spooledNotifications) isEmpty() bool { return len(n.queued)+len(n.abandoned) == 0 }

// readNotifications returns the notifications of a file.
func readNotifications(db database) (found spooledNotifications, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		found = spooledNotifications{}
		err := tx.Bucket(outboxBucket).ForEach(func(key, raw []byte) error {
			n := &notification{}
			found.queued = append(found.queued, queuedNotification{n, dueTime(key)})
			return json.Unmarshal(raw, n)
		})
		if err != nil {
			return err
		}
		return tx.Bucket(abandonedBucket).ForEach(func(_, raw []byte) error {
			n := &notification{}
			found.abandoned = append(found.abandoned, n)
			return json.Unmarshal(raw, n)
		})
	})
	return found, err
}

// moveNotifications adds the notifications of a spool to the state file and then removes the file of
// the spool. If the process ends in between they are moved again, and some may be delivered twice.
func moveNotifications(spool, state database, spoolPath string) error {
	found, err := readNotifications(spool)
	if err != nil {
		return fmt.Errorf("spool %s: %w", spoolPath, err)
	}
	err = state.Update(func(tx *bbolt.Tx) error {
		for _, n := range found.queued {
			if tx.Bucket(outboxIndexBucket).Get([]byte(n.ID)) != nil {
				continue
			}
			if err := schedule(tx, n.notification, n.due); err != nil {
				return err
			}
		}
		for _, n := range found.abandoned {
			if err := putJSON(tx.Bucket(abandonedBucket), []byte(n.ID), n); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("spool %s: %w", spoolPath, err)
	}
	return os.Remove(spoolPath)
}
