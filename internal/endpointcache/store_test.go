package endpointcache

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread/internal/endpointcache/keptpb"
)

// A file holds the snapshot that was written last and no records of earlier ones.
func TestLastSnapshotIsRead(t *testing.T) {
	path := writeSample(t, 3)
	found, err := Read(path, "d1")
	require.NoError(t, err)
	assert.Equal(t, Contents{Snapshot: sample(3), Owner: "d1", Schema: Schema}, found)

	store, _, err := Open(path, "d1")
	require.NoError(t, err)
	smaller := sample(2)
	smaller.History.Events = nil
	require.NoError(t, store.Write(smaller))
	require.NoError(t, store.Close())
	found, err = Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, found.Snapshot.Endpoints, 2, "an endpoint removed from the list is deleted from the file")
	assert.Empty(t, found.Snapshot.History.Events)
	faults, err := Check(path)
	require.NoError(t, err)
	assert.Empty(t, faults)
}

// The file of another dispatcher is neither used nor changed.
func TestFileOfAnotherOwnerIsUnchanged(t *testing.T) {
	path := writeSample(t, 1)
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	_, found, err := Open(path, "d2")
	require.ErrorIs(t, err, ErrOwner)
	assert.True(t, found.IsEmpty)
	require.ErrorContains(t, err, `"d1", not "d2"`)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

// A file that is open cannot be opened again, but can be read from a copy.
func TestOpenFileIsReadFromACopy(t *testing.T) {
	path := writeSample(t, 1)
	store, _, err := Open(path, "d1")
	require.NoError(t, err)
	_, _, err = Open(path, "d1")
	require.ErrorIs(t, err, ErrInUse)
	found, err := ReadShared(path)
	require.NoError(t, err, "reading while a dispatcher has it open")
	assert.Len(t, found.Snapshot.Endpoints, 1)
	require.NoError(t, store.Close())
}

// A file of a later schema is not used; one of an older schema is read and written in the current
// one.
func TestSchemaVersions(t *testing.T) {
	path := writeSample(t, 1)
	changeHead(t, path, func(head *keptpb.Head) { head.Schema = Schema + 1 })
	_, _, err := Open(path, "d1")
	require.ErrorIs(t, err, ErrSchema)

	changeHead(t, path, func(head *keptpb.Head) { head.Schema = 1 })
	store, found, err := Open(path, "d1")
	require.NoError(t, err, "an older one is read")
	assert.Equal(t, 1, found.Schema)
	require.NoError(t, store.Write(found.Snapshot))
	require.NoError(t, store.Close())
	found, err = Read(path, "d1")
	require.NoError(t, err)
	assert.Equal(t, Schema, found.Schema, "and written in the current one")
}

// A path that cannot be created or does not exist is an error.
func TestUnusablePaths(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a-file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, _, err := Open(filepath.Join(file, "list.db"), "d1")
	require.Error(t, err, "a path that cannot be created")
	_, err = Read(filepath.Join(t.TempDir(), "none.db"), "")
	require.Error(t, err)
}

// A record with a flipped bit is left out and reported; the others are used.
func TestCorruptRecordIsLeftOut(t *testing.T) {
	path := writeSample(t, 3)
	updateDatabase(t, path, func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(endpointBucket)
		encoded := append([]byte(nil), bucket.Get([]byte{0, 0, 0, 2})...)
		encoded[9] ^= 4
		return bucket.Put([]byte{0, 0, 0, 2}, encoded)
	})
	store, found, err := Open(path, "d1")
	require.NoError(t, err)
	require.NoError(t, store.Close())
	assert.Equal(t, 1, found.CorruptRecords)
	assert.Len(t, found.Snapshot.Endpoints, 2)
	faults, err := Check(path)
	require.NoError(t, err)
	assert.Equal(t, []string{"1 records fail their checksum"}, faults)
}

// A write to a closed database is an error.
func TestWriteToClosedDatabaseFails(t *testing.T) {
	db, err := bbolt.Open(filepath.Join(t.TempDir(), "ro.db"), 0o600, nil)
	require.NoError(t, err)
	store := &Store{db: db, path: "ro.db"}
	require.NoError(t, db.Close())
	require.Error(t, store.Write(sample(1)))
}

func BenchmarkWrite(b *testing.B) {
	store, _, err := Open(filepath.Join(b.TempDir(), "list.db"), "d1")
	require.NoError(b, err)
	defer func() { require.NoError(b, store.Close()) }()
	snapshot := sample(60)
	for n := 0; b.Loop(); n++ {
		for i := range snapshot.Endpoints {
			snapshot.Endpoints[i].VerifiedAt = startTime.Add(time.Duration(n) * time.Second)
		}
		require.NoError(b, store.Write(snapshot))
	}
}
