package endpointcache

import (
	"bytes"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache/keptpb"
)

var startTime = time.Unix(1_800_000_000, 0)

// sample returns a snapshot with the given number of endpoints.
func sample(count int) endpoints.Snapshot {
	snapshot := endpoints.Snapshot{
		Epoch: "e1", Cursor: 41, ConfirmedAt: startTime, SavedAt: startTime.Add(time.Second),
		History: endpoints.History{
			ObservedTime: 90 * time.Hour, Departures: 3, Restarts: 1,
			Events: []endpoints.Event{{At: startTime, Worker: 9, Kind: endpoints.Left}},
		},
	}
	for i := range count {
		snapshot.Endpoints = append(snapshot.Endpoints, endpoints.Endpoint{
			ID: balancer.WorkerID(i + 1), Addr: fmt.Sprint("127.0.0.1:", 1+i%60000), Zone: 1, Cell: 2,
			State: balancer.Active, Weight: 2, Start: startTime.Add(-time.Hour), UpdatedAt: startTime,
			VerifiedAt: startTime, RequestRate: 4.5,
		})
	}
	return snapshot
}

// writeSample writes a sample to a new file of the dispatcher d1 and returns its path.
func writeSample(t *testing.T, count int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.db")
	store, found, err := Open(path, "d1")
	require.NoError(t, err)
	assert.True(t, found.IsEmpty)
	require.NoError(t, store.Write(sample(count)))
	require.NoError(t, store.Close())
	return path
}

// changeHead changes the head record of a file.
func changeHead(t *testing.T, path string, change func(*keptpb.Head)) {
	t.Helper()
	updateDatabase(t, path, func(tx *bbolt.Tx) error {
		var head keptpb.Head
		bucket := tx.Bucket(headBucket)
		require.True(t, decodeRecord(bucket.Get(headKey), &head))
		change(&head)
		encoded, err := encodeRecord(&head)
		require.NoError(t, err)
		return bucket.Put(headKey, encoded)
	})
}

// updateDatabase runs a transaction on the database of a file that is not open.
func updateDatabase(t *testing.T, path string, change func(*bbolt.Tx) error) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(change))
	require.NoError(t, db.Close())
}

// logBuffer collects log lines of concurrent writers.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}
