package endpointcache

import (
	"fmt"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oakthread/endpoints"
	"oakthread/internal/endpointcache/keptpb"
)

// The names of the buckets and the key of the head record are part of the file format.
var (
	headBucket     = []byte("head")
	endpointBucket = []byte("boxes")
	eventBucket    = []byte("events")
	headKey        = []byte("head")
)

// readAll reads every record of the file. Only the head is read of a file with a later schema.
func readAll(tx *bbolt.Tx) (Contents, error) {
	bucket := tx.Bucket(headBucket)
	if bucket == nil {
		return Contents{IsEmpty: true}, nil
	}
	var head keptpb.Head
	if !decodeRecord(bucket.Get(headKey), &head) {
		return Contents{}, errMissingHead
	}
	found := decodeHead(&head)
	if found.Schema > Schema {
		return found, nil
	}
	if err := found.readEndpoints(tx); err != nil {
		return found, err
	}
	return found, found.readEvents(tx)
}

// readEndpoints reads the records of the endpoints. Invalid ones are counted and left out.
func (f *Contents) readEndpoints(tx *bbolt.Tx) error {
	bucket := tx.Bucket(endpointBucket)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(key, encoded []byte) error {
		if endpoint, ok := decodeEndpoint(key, encoded); ok {
			f.Snapshot.Endpoints = append(f.Snapshot.Endpoints, endpoint)
		} else {
			f.CorruptRecords++
		}
		return nil
	})
}

// readEvents reads the records of the history's events. Invalid ones are counted and left out.
func (f *Contents) readEvents(tx *bbolt.Tx) error {
	bucket := tx.Bucket(eventBucket)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(_, encoded []byte) error {
		if event, ok := decodeEvent(encoded); ok {
			f.Snapshot.History.Events = append(f.Snapshot.History.Events, event)
		} else {
			f.CorruptRecords++
		}
		return nil
	})
}

// Write replaces the contents of the file by a snapshot, in one transaction that is synced to disk.
// Only records that differ are written. An error that wraps ErrDamaged means that the file cannot
// be used.
func (s *Store) Write(snapshot endpoints.Snapshot) error {
	err := recoverFaults(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error { return writeAll(tx, s.owner, snapshot) })
	})
	if err != nil {
		return fmt.Errorf("list file %s: %w", s.path, err)
	}
	return nil
}

// writeAll makes the file hold the snapshot.
func writeAll(tx *bbolt.Tx, owner string, snapshot endpoints.Snapshot) error {
	heads, err := tx.CreateBucketIfNotExists(headBucket)
	if err != nil {
		return err
	}
	if err := writeEndpoints(tx, snapshot.Endpoints); err != nil {
		return err
	}
	if err := writeEvents(tx, snapshot.History.Events); err != nil {
		return err
	}
	return putRecord(heads, headKey, encodeHead(owner, snapshot))
}

// writeEndpoints makes the file hold the given endpoints and no others.
func writeEndpoints(tx *bbolt.Tx, list []endpoints.Endpoint) error {
	bucket, err := tx.CreateBucketIfNotExists(endpointBucket)
	if err != nil {
		return err
	}
	isListed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		key := endpointKey(endpoint.ID)
		isListed[string(key)] = true
		if err := putRecord(bucket, key, encodeEndpoint(endpoint)); err != nil {
			return err
		}
	}
	return deleteUnless(bucket, func(key []byte) bool { return isListed[string(key)] })
}

// writeEvents adds the events that are missing in the file and deletes those whose key precedes
// that of the first given event, or all if none is given.
func writeEvents(tx *bbolt.Tx, events []endpoints.Event) error {
	bucket, err := tx.CreateBucketIfNotExists(eventBucket)
	if err != nil {
		return err
	}
	for _, event := range events {
		key := eventKey(event)
		if bucket.Get(key) != nil {
			continue
		}
		if err := putRecord(bucket, key, encodeEvent(event)); err != nil {
			return err
		}
	}
	if len(events) == 0 {
		return deleteUnless(bucket, func([]byte) bool { return false })
	}
	first := string(eventKey(events[0]))
	return deleteUnless(bucket, func(key []byte) bool { return string(key) >= first })
}

// putRecord writes a record unless the bucket already holds it unchanged.
func putRecord(bucket *bbolt.Bucket, key []byte, record proto.Message) error {
	encoded, err := encodeRecord(record)
	if err != nil {
		return err
	}
	if string(bucket.Get(key)) == string(encoded) {
		return nil
	}
	return bucket.Put(key, encoded)
}

// deleteUnless deletes the records for whose key keep returns false.
func deleteUnless(bucket *bbolt.Bucket, keep func(key []byte) bool) error {
	var obsolete [][]byte
	collect := func(key, _ []byte) error {
		if !keep(key) {
			obsolete = append(obsolete, append([]byte(nil), key...)) // valid only during the iteration
		}
		return nil
	}
	if err := bucket.ForEach(collect); err != nil {
		return err
	}
	for _, key := range obsolete {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}
