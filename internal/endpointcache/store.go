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

// Schema is the version of the records' meaning. Schema 1 had no history and no request rates: such
// a file is read, and written as schema 2.
const Schema = 2

const (
	// lockTimeout is the time that opening waits for another process to close the file.
	lockTimeout = 200 * time.Millisecond

	dirMode  = 0o700
	fileMode = 0o600

	// damagedSuffix is appended to the name of a damaged file.
	damagedSuffix = ".damaged"

	// maxFaultLength bounds the text of a fault that the database panicked with.
	maxFaultLength = 120
)

// Errors of a file that exists and cannot be used.
var (
	ErrInUse       = errors.New("another process has it open")
	ErrOwner       = errors.New("it is another dispatcher's")
	ErrSchema      = errors.New("it was written by a later version")
	ErrDamaged     = errors.New("it is damaged")
	errMissingHead = errors.New("its head record is missing or damaged")
)

// Store is the file of the list. One process has it open at a time.
type Store struct {
	db    *bbolt.DB
	path  string
	owner string
}

// Contents is what a file held.
type Contents struct {
	Snapshot       endpoints.Snapshot
	Owner          string
	Schema         int
	CorruptRecords int  // records that failed their checksum and were left out
	IsEmpty        bool // the file was new or empty
}

// Open opens or creates the file of a dispatcher and reads it. A damaged file is renamed to
// PATH.damaged and replaced by an empty one; the error then wraps ErrDamaged and comes with a Store
// that works. Any other error comes without a Store, and the file is unchanged.
func Open(path, owner string) (*Store, Contents, error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return nil, Contents{IsEmpty: true}, fmt.Errorf("list file %s: %w", path, err)
	}
	store, found, err := open(path, owner, false)
	if !errors.Is(err, ErrDamaged) {
		return store, found, err
	}
	aside := path + damagedSuffix
	if renameErr := os.Rename(path, aside); renameErr != nil {
		return nil, Contents{IsEmpty: true}, fmt.Errorf("%w; it cannot be put aside: %w", err, renameErr)
	}
	store, found, reopenErr := open(path, owner, false)
	if reopenErr != nil {
		return nil, Contents{IsEmpty: true}, reopenErr
	}
	return store, found, fmt.Errorf("%w; put aside as %s", err, aside)
}

// Read reads a file that no process has open, and leaves it as it is. An empty owner reads the file
// of any dispatcher.
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
		err = found.checkUsable(owner)
	}
	if err != nil {
		if db != nil {
			_ = recoverFaults(db.Close)
		}
		return nil, Contents{IsEmpty: true}, fmt.Errorf("list file %s: %w", path, err)
	}
	return &Store{db: db, path: path, owner: owner}, found, nil
}

// openDatabase opens and reads the database. It may return a database beside an error.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, found Contents, err error) {
	// The list of free pages is stored in the file. Without it the database walks all pages at each
	// start on a goroutine of its own, where a panic over a torn page cannot be recovered.
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

// classifyOpenError returns an error of the database as one of the package's errors.
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

// isDamage reports whether an error of the database says that the file's contents are invalid.
func isDamage(err error) bool {
	for _, damage := range []error{
		ErrDamaged, errMissingHead, berrors.ErrInvalid, berrors.ErrChecksum, berrors.ErrVersionMismatch,
	} {
		if errors.Is(err, damage) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") // the database has no sentinel for it
}

// checkUsable returns an error if the file is another owner's or has a later schema.
func (f Contents) checkUsable(owner string) error {
	if !f.IsEmpty && owner != "" && f.Owner != owner {
		return fmt.Errorf("%w: %q, not %q", ErrOwner, f.Owner, owner)
	}
	if f.Schema > Schema {
		return fmt.Errorf("%w: schema %d, known up to %d", ErrSchema, f.Schema, Schema)
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return recoverFaults(s.db.Close) }

// recoverFaults runs access to the file and returns a panic or memory fault as ErrDamaged. The
// database panics over some torn pages, and a mapped page behind the end of a truncated file
// faults.
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
