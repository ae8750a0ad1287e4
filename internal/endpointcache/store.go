// Package endpointcache persists a dispatcher's endpoint list and keeps it synchronized with
// service discovery, attempts and health checks, so that a dispatcher can start while service
// discovery is unavailable.
//
// Store is the file of the list: a bbolt database with one checksummed protobuf record for the
// head, each endpoint and each event of the history. Syncer runs an endpoints.List and carries out
// its actions.
package endpointcache

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"oakthread/endpoints"
)

// Schema is the version of the record format. Schema 1 had no history and no request rates; a file
// with it is read and then written with schema 2.
const Schema = 2

const (
	// lockTimeout is how long opening waits for another process to release the lock on the file.
	lockTimeout = 200 * time.Millisecond

	dirMode  = 0o700
	fileMode = 0o600

	// damagedSuffix is appended to the name of a damaged file.
	damagedSuffix = ".damaged"

	// maxFaultLength is the maximum length, in characters, of a panic's text in an error.
	maxFaultLength = 120
)

// Errors of a file that exists and cannot be used.
var (
	ErrInUse       = errors.New("in use by another process")
	ErrOwner       = errors.New("owned by another dispatcher")
	ErrSchema      = errors.New("written by a later version")
	ErrDamaged     = errors.New("damaged")
	errMissingHead = errors.New("head record missing or damaged")
)

// Store is an open file of the list. While it is open, other attempts to open the file fail with
// ErrInUse.
type Store struct {
	db    *bbolt.DB
	path  string
	owner string
}

// Contents is the decoded content of a file.
type Contents struct {
	Snapshot       endpoints.Snapshot
	Owner          string
	Schema         int
	CorruptRecords int  // records that failed their checksum and were left out
	IsEmpty        bool // the file was new or empty
}

// Open opens or creates the file of a dispatcher and reads it. A damaged file is renamed to
// PATH.damaged and replaced by an empty one; the returned error then wraps ErrDamaged and the Store
// is usable. With any other error the Store is nil. The file is then unchanged, unless it was
// damaged and has been renamed, but no new one could be opened.
func Open(path, owner string) (*Store, Contents, error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return nil, Contents{IsEmpty: true}, fmt.Errorf("list file %s: %w", path, err)
	}
	store, found, err := open(path, owner, false)
	if !errors.Is(err, ErrDamaged) {
		return store, found, err
	}
	renamedPath := path + damagedSuffix
	if renameErr := os.Rename(path, renamedPath); renameErr != nil {
		return nil, Contents{IsEmpty: true}, fmt.Errorf("%w; it cannot be renamed: %w", err, renameErr)
	}
	store, found, reopenErr := open(path, owner, false)
	if reopenErr != nil {
		return nil, Contents{IsEmpty: true}, reopenErr
	}
	return store, found, fmt.Errorf("%w; renamed to %s", err, renamedPath)
}

// Read reads a file without changing it. It fails with ErrInUse if a Store has the file open. An
// empty owner reads the file of any dispatcher.
func Read(path, owner string) (Contents, error) {
	store, found, err := open(path, owner, true)
	if err != nil {
		return found, err
	}
	return found, store.Close()
}

// open opens the file, reads it and checks that the owner may use it.
func open(path, owner string, readOnly bool) (*Store, Contents, error) {
	if readOnly {
		if _, err := os.Stat(path); err != nil {
			return nil, Contents{}, fmt.Errorf("list file: %w", err)
		}
	}
	db, found, err := openDatabase(path, readOnly)
	if err == nil {
		err = found.checkOwnerAndSchema(owner)
	}
	if err != nil {
		if db != nil {
			_ = recoverFaults(db.Close)
		}
		return nil, Contents{IsEmpty: true}, fmt.Errorf("list file %s: %w", path, err)
	}
	return &Store{db: db, path: path, owner: owner}, found, nil
}

// openDatabase opens and reads the database. If reading fails, it returns the open database along
// with the error, and the caller closes it.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, found Contents, err error) {
	// The free list is stored in the file: NoFreelistSync stays false. Without a stored free list,
	// bbolt scans all pages on each open in a separate goroutine, where a panic on a torn page
	// cannot be recovered.
	options := &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType}
	err = recoverFaults(func() error {
		var err error
		if db, err = bbolt.Open(path, fileMode, options); err != nil {
			return err
		}
		return db.View(func(tx *bbolt.Tx) error {
			found, err = readAll(tx)
			return err
		})
	})
	return db, found, classifyOpenError(err)
}

// classifyOpenError maps a lock timeout to ErrInUse and wraps invalid contents in ErrDamaged. Other
// errors are returned unchanged.
func classifyOpenError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, berrors.ErrTimeout):
		return ErrInUse
	case isDamage(err):
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return err
}

// isDamage reports whether an error of the database means that the file's contents are invalid.
func isDamage(err error) bool {
	for _, damage := range []error{
		ErrDamaged, errMissingHead, berrors.ErrInvalid, berrors.ErrChecksum, berrors.ErrVersionMismatch,
	} {
		if errors.Is(err, damage) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") // bbolt has no error value for it
}

// checkOwnerAndSchema returns an error if the file belongs to another owner or has a later schema.
// An empty owner matches any.
func (f Contents) checkOwnerAndSchema(owner string) error {
	if !f.IsEmpty && owner != "" && f.Owner != owner {
		return fmt.Errorf("%w: %q, not %q", ErrOwner, f.Owner, owner)
	}
	if f.Schema > Schema {
		return fmt.Errorf("%w: schema %d, supported up to %d", ErrSchema, f.Schema, Schema)
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return recoverFaults(s.db.Close) }

// recoverFaults calls access and returns a panic or memory fault in it as ErrDamaged. bbolt panics
// on some torn pages, and access to a mapped page beyond the end of a truncated file is a memory
// fault.
func recoverFaults(access func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			text := strings.ReplaceAll(fmt.Sprint(fault), "\n", " ")
			err = fmt.Errorf("%w: %.*s", ErrDamaged, maxFaultLength, text)
		}
	}()
	return access()
}
