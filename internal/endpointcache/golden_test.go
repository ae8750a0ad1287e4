package endpointcache

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread/balancer"
	"oakthread/endpoints"
)

var updateGolden = flag.Bool("update", false, "rewrite the text golden files, and create the database if it is missing")

const (
	goldenList  = "testdata/list.db"
	goldenOwner = "dispatcher-7"
)

// storedList returns the contents of testdata/list.db, which an earlier build wrote: endpoints in
// every state, events of every kind, and no value twice in a record.
func storedList() endpoints.Snapshot {
	at := func(n int) time.Time { return startTime.Add(time.Duration(n) * (time.Hour + time.Nanosecond)) }
	return endpoints.Snapshot{
		Epoch: "epoch-3", Cursor: 1 << 40, ConfirmedAt: at(1), SavedAt: at(2),
		Endpoints: []endpoints.Endpoint{
			{
				ID: 1, Addr: "127.0.0.1:7001", Zone: 6, Kind: 3, Cell: 4, State: balancer.Active, Weight: 5.5,
				Start: at(-9), UpdatedAt: at(-8), VerifiedAt: at(-7), RequestRate: 6.25,
			},
			{
				ID: 12, Addr: "127.0.0.1:7002", Zone: 13, Kind: 14, Cell: 15, State: balancer.Draining, Weight: 16.5,
				Start: at(-19), UpdatedAt: at(-18), VerifiedAt: at(-17), RequestRate: 17.25,
			},
			{
				ID: 23, Addr: "[::1]:7003", Zone: 24, Kind: 25, Cell: 26, State: balancer.Removed, Weight: 27.5,
				Start: at(-29), UpdatedAt: at(-28), VerifiedAt: at(-27), RequestRate: 28.25,
			},
			{ID: 34, Addr: "box.example:7004", State: balancer.Active}, // without the optional fields
			{
				ID: math.MaxUint32, Addr: "127.0.0.1:7005", Zone: -1, Kind: -2, Cell: -3, State: balancer.Active,
				Weight: 0.1, Start: time.Unix(0, 1), UpdatedAt: at(-38), VerifiedAt: at(-37), RequestRate: 1e9,
			},
		},
		History: endpoints.History{
			ObservedTime: 90*time.Hour + 1, Departures: 3.5, Restarts: 1.25,
			Events: []endpoints.Event{
				{At: at(-6), Worker: 1, Kind: endpoints.Joined},
				{At: at(-5), Worker: 12, Kind: endpoints.Left},
				{At: at(-4), Worker: 23, Kind: endpoints.Restarted},
				{At: at(-3), Worker: math.MaxUint32, Kind: endpoints.Drained},
			},
		},
	}
}

// copyToTemp copies a file of testdata to a temporary directory, where it may be changed, and
// returns the path of the copy.
func copyToTemp(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	to := filepath.Join(t.TempDir(), filepath.Base(path))
	require.NoError(t, os.WriteFile(to, raw, 0o600))
	return to
}

// records returns all records of a database that is not open, one per line: bucket, key and value
// in hex.
func records(t *testing.T, path string) string {
	t.Helper()
	var b strings.Builder
	updateDatabase(t, path, func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&b, "%s %x %x\n", name, k, v)
				return nil
			})
		})
	})
	return b.String()
}

// storedRecords returns the records of the committed file.
func storedRecords(t *testing.T) string {
	t.Helper()
	path := filepath.Join("testdata", "records.golden")
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, []byte(records(t, copyToTemp(t, goldenList))), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(want)
}

// writeList writes storedList to a new or existing file.
func writeList(t *testing.T, path string) {
	t.Helper()
	s, _, err := Open(path, goldenOwner)
	require.NoError(t, err)
	require.NoError(t, s.Write(storedList()))
	require.NoError(t, s.Close())
}

// The committed database exists. With -update it is created if it is missing, and never replaced.
func TestGoldenDatabaseExists(t *testing.T) {
	if _, err := os.Stat(goldenList); *updateGolden && errors.Is(err, fs.ErrNotExist) {
		writeList(t, goldenList)
	}
	assert.FileExists(t, goldenList)
}

// All fields of all records are read from a file of an earlier build.
func TestStoredListIsReadable(t *testing.T) {
	want := Contents{Snapshot: storedList(), Owner: goldenOwner, Schema: 2}
	path := copyToTemp(t, goldenList)
	f, err := Read(path, goldenOwner)
	require.NoError(t, err)
	assert.Equal(t, want, f, "read")
	s, f, err := Open(path, goldenOwner)
	require.NoError(t, err)
	assert.Equal(t, want, f, "opened")
	require.NoError(t, s.Close())
	faults, err := Check(path)
	require.NoError(t, err)
	assert.Empty(t, faults)
}

// The same list gives the same records, byte for byte, whether written to a new file or over a file
// of an earlier build.
func TestWrittenRecordsMatchGolden(t *testing.T) {
	want := storedRecords(t)
	path := copyToTemp(t, goldenList)
	assert.Equal(t, want, records(t, path), "as committed")
	writeList(t, path)
	assert.Equal(t, want, records(t, path), "written again")
	path = filepath.Join(t.TempDir(), "list.db")
	writeList(t, path)
	assert.Equal(t, want, records(t, path), "in a new file")
}
