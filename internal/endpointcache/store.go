// Package kept is the I/O beside package roster: the file that a list is kept in, and the keeper that has a list follow
// discovery, probes and attempts.
//
// This file owns the list's file: a bbolt database with one checked protobuf record for the head, each box and each
// event. It must never end the program, whatever the file holds, nor give an age that the file does not prove.
package endpointcache

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache/keptpb"
)

// Schema is the number of the records' meaning. Schema 1 had no history and no paces: such a file is read, and written
// anew as 2.
const Schema = 2

const lockTimeout = 200 * time.Millisecond

var (
	headBucket     = []byte("head")
	endpointBucket = []byte("boxes")
	eventBucket    = []byte("events")
	headKey        = []byte("head")

	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// Errors of a file that is there and cannot be used.
var (
	ErrInUse       = errors.New("another process has it open")
	ErrOwner       = errors.New("it is another dispatcher's")
	ErrSchema      = errors.New("it was written by a later version")
	ErrDamaged     = errors.New("it is damaged")
	errMissingHead = errors.New("its head record is missing or damaged")
)

// Store is the list's file. One process has it open at a time.
type Store struct {
	db    *bbolt.DB
	path  string
	owner string
}

// Found is what a file held. Unsound counts the records that failed their check and were left out.
type Found struct {
	Kept    endpoints.Snapshot
	Owner   string
	Schema  int
	Unsound int
	None    bool // the file was new or empty
}

// Open opens or makes the file of a dispatcher and reads it. A file that is damaged beyond reading is put aside under
// PATH.damaged, and Found says None; the error then says what was put aside, beside a Store that works. Any other
// error comes without a Store, and the file is as it was.
func Open(path, owner string) (s *Store, f Found, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, Found{None: true}, fmt.Errorf("list file %s: %w", path, err)
	}
	s, f, err = open(path, owner, false)
	if err == nil || !errors.Is(err, ErrDamaged) {
		return s, f, err
	}
	aside := path + ".damaged"
	if e := os.Rename(path, aside); e != nil {
		return nil, Found{None: true}, fmt.Errorf("%w; it cannot be put aside: %w", err, e)
	}
	s, f, again := open(path, owner, false)
	if again != nil {
		return nil, Found{None: true}, again
	}
	return s, f, fmt.Errorf("%w; put aside as %s", err, aside)
}

// Read reads a file that nobody has open, and leaves it as it is. An empty owner reads anyone's.
func Read(path, owner string) (Found, error) {
	s, f, err := open(path, owner, true)
	if err != nil {
		return f, err
	}
	return f, s.Close()
}

func open(path, owner string, only bool) (s *Store, f Found, err error) {
	if only {
		if _, err := os.Stat(path); err != nil {
			return nil, f, fmt.Errorf("list file: %w", err)
		}
	}
	var db *bbolt.DB
	err = recoverFaults(func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: only,
			FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return err
		}
		return db.View(func(tx *bbolt.Tx) error {
			f, err = read(tx)
			return err
		})
	})
	switch {
	case err == nil:
	case errors.Is(err, berrors.ErrTimeout):
		err = ErrInUse
	case errors.Is(err, errMissingHead), errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum),
		errors.Is(err, berrors.ErrVersionMismatch), errors.Is(err, ErrDamaged), strings.Contains(err.Error(), "file size too small"):
		err = fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err == nil && !f.None && owner != "" && f.Owner != owner {
		err = fmt.Errorf("%w: %q, not %q", ErrOwner, f.Owner, owner)
	}
	if err == nil && f.Schema > Schema {
		err = fmt.Errorf("%w: schema %d, known up to %d", ErrSchema, f.Schema, Schema)
	}
	if err != nil {
		if db != nil {
			_ = recoverFaults(db.Close)
		}
		return nil, Found{None: true}, fmt.Errorf("list file %s: %w", path, err)
	}
	return &Store{db: db, path: path, owner: owner}, f, nil
}

// The list of free pages is kept in the file: without it the database walks all pages at each start on a goroutine of its
// own, where nothing stops a panic over a torn one.

// recoverFaults runs what touches the file. Guards against torn pages: the database answers some with a panic, and a mapped
// page behind the end of a cut file with a fault.
func recoverFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %.120s", ErrDamaged, strings.ReplaceAll(fmt.Sprint(p), "\n", " "))
		}
	}()
	return do()
}

// sealRecord and unseal put a checksum before a record.
func sealRecord(m proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(raw, crcTable)), raw...), nil
}

func unsealRecord(raw []byte, m proto.Message) bool {
	return len(raw) >= 4 && crc32.Checksum(raw[4:], crcTable) == binary.BigEndian.Uint32(raw) && proto.Unmarshal(raw[4:], m) == nil
}

func read(tx *bbolt.Tx) (f Found, err error) {
	head := tx.Bucket(headBucket)
	if head == nil {
		return Found{None: true}, nil
	}
	var h keptpb.Head
	if !unsealRecord(head.Get(headKey), &h) {
		return f, errMissingHead
	}
	f.Owner, f.Schema = h.Owner, int(h.Schema)
	f.Kept = endpoints.Snapshot{Epoch: h.Epoch, Cursor: h.Cursor, Confirmed: timeFromNanos(h.Confirmed), Saved: timeFromNanos(h.Saved),
		History: endpoints.History{Watched: time.Duration(h.Watched), Leaves: h.Leaves, Returns: h.Returns}}
	if f.Schema > Schema {
		return f, nil
	}
	if b := tx.Bucket(endpointBucket); b != nil {
		err = b.ForEach(func(k, raw []byte) error {
			var x keptpb.Box
			if !unsealRecord(raw, &x) || x.State < 0 || x.State > int32(balancer.Active) || len(k) != 4 || binary.BigEndian.Uint32(k) != x.Id {
				f.Unsound++
				return nil
			}
			f.Kept.Endpoints = append(f.Kept.Endpoints, endpoints.Endpoint{ID: balancer.WorkerID(x.Id), Addr: x.Addr, Zone: int(x.Zone),
				Kind: int(x.Kind), Cell: int(x.Cell), State: balancer.EndpointState(x.State), Weight: x.Weight, Start: timeFromNanos(x.Start),
				UpdatedAt: timeFromNanos(x.Told), VerifiedAt: timeFromNanos(x.Proved), RequestRate: x.Pace})
			return nil
		})
	}
	if b := tx.Bucket(eventBucket); b != nil && err == nil {
		err = b.ForEach(func(_, raw []byte) error {
			var x keptpb.Event
			if !unsealRecord(raw, &x) || x.What < 0 || x.What > int32(endpoints.Drained) {
				f.Unsound++
				return nil
			}
			f.Kept.History.Events = append(f.Kept.History.Events, endpoints.Event{At: timeFromNanos(x.At), Worker: balancer.WorkerID(x.Worker), What: endpoints.What(x.What)})
			return nil
		})
	}
	return f, err
}

func nanosFromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Write makes the file hold a list, in one transaction that is synced. Only records that differ are written.
func (s *Store) Write(k endpoints.Snapshot) error {
	err := recoverFaults(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error { return s.write(tx, k) })
	})
	if err != nil {
		return fmt.Errorf("list file %s: %w", s.path, err)
	}
	return nil
}

func (s *Store) write(tx *bbolt.Tx, k endpoints.Snapshot) error {
	head, err := tx.CreateBucketIfNotExists(headBucket)
	if err != nil {
		return err
	}
	boxes, err := tx.CreateBucketIfNotExists(endpointBucket)
	if err != nil {
		return err
	}
	events, err := tx.CreateBucketIfNotExists(eventBucket)
	if err != nil {
		return err
	}
	named := make(map[string]bool, len(k.Endpoints))
	for _, b := range k.Endpoints {
		key := binary.BigEndian.AppendUint32(nil, uint32(b.ID))
		named[string(key)] = true
		if err := putRecord(boxes, key, &keptpb.Box{Id: uint32(b.ID), Addr: b.Addr, Zone: int32(b.Zone), Kind: int32(b.Kind),
			Cell: int32(b.Cell), State: int32(b.State), Weight: b.Weight, Start: nanosFromTime(b.Start), Told: nanosFromTime(b.UpdatedAt),
			Proved: nanosFromTime(b.VerifiedAt), Pace: b.RequestRate}); err != nil {
			return err
		}
	}
	if err := prune(boxes, func(key []byte) bool { return named[string(key)] }); err != nil {
		return err
	}
	// Events are numbered by time, so that those already there are not written again.
	from := make([]byte, 8)
	for i, e := range k.History.Events {
		key := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, uint64(nanosFromTime(e.At))), uint32(e.Worker))
		key = append(key, byte(e.What))
		if i == 0 {
			from = key
		}
		if events.Get(key) == nil {
			if err := putRecord(events, key, &keptpb.Event{At: nanosFromTime(e.At), Worker: uint32(e.Worker), What: int32(e.What)}); err != nil {
				return err
			}
		}
	}
	if err := prune(events, func(key []byte) bool { return len(k.History.Events) > 0 && string(key) >= string(from) }); err != nil {
		return err
	}
	return putRecord(head, headKey, &keptpb.Head{Schema: Schema, Owner: s.owner, Epoch: k.Epoch, Cursor: k.Cursor,
		Confirmed: nanosFromTime(k.Confirmed), Saved: nanosFromTime(k.Saved), Watched: int64(k.History.Watched), Leaves: k.History.Leaves,
		Returns: k.History.Returns})
}

func putRecord(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := sealRecord(m)
	if err != nil {
		return err
	}
	if string(b.Get(key)) == string(raw) {
		return nil
	}
	return b.Put(key, raw)
}

func prune(b *bbolt.Bucket, keep func(key []byte) bool) error {
	var drop [][]byte
	if err := b.ForEach(func(k, _ []byte) error {
		if !keep(k) {
			drop = append(drop, append([]byte(nil), k...))
		}
		return nil
	}); err != nil {
		return err
	}
	for _, k := range drop {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Check reads every record of the file and returns what is wrong with it, one line each. (The database's own check runs
// on a goroutine where nothing stops a panic over a torn page.)
func Check(path string) (wrong []string, err error) {
	f, err := Read(path, "")
	if err != nil {
		return nil, err
	}
	if f.Unsound > 0 {
		wrong = append(wrong, fmt.Sprintf("%d records fail their checksum", f.Unsound))
	}
	seen := map[string]balancer.WorkerID{}
	for _, b := range f.Kept.Endpoints {
		if other, twice := seen[b.Addr]; twice && b.Addr != "" {
			wrong = append(wrong, fmt.Sprintf("boxes s-%08x and s-%08x have one address, %s", uint32(other), uint32(b.ID), b.Addr))
		}
		seen[b.Addr] = b.ID
	}
	return wrong, nil
}

// Close closes the file.
func (s *Store) Close() error { return recoverFaults(s.db.Close) }

// Snapshot reads a file that a dispatcher may have open: a copy made while nothing was written. It changes nothing.
func Snapshot(path string) (f Found, err error) {
	f, err = Read(path, "")
	if !errors.Is(err, ErrInUse) {
		return f, err
	}
	for range snapshotTries {
		if f, err = readCopy(path); err == nil {
			return f, nil
		}
	}
	return f, fmt.Errorf("list file %s: no copy of it is whole, it is written all the time: %w", path, err)
}

const snapshotTries = 5

func readCopy(path string) (f Found, err error) {
	before, err := os.Stat(path)
	if err != nil {
		return f, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	after, err := os.Stat(path)
	if err != nil {
		return f, err
	}
	if !before.ModTime().Equal(after.ModTime()) || before.Size() != after.Size() {
		return f, errors.New("it was written meanwhile")
	}
	tmp, err := os.CreateTemp("", "oakthread-list-*")
	if err != nil {
		return f, err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(raw)
	if err = errors.Join(err, tmp.Close()); err != nil {
		return f, err
	}
	return Read(tmp.Name(), "")
}
