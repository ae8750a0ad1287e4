package endpointcache

import (
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/internal/monotime"
)

// A failed write is retried without further requests, and the list is on disk once a write
// succeeds.
func TestFailedWritesAreRetried(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	syncer := NewSyncer(Options{Path: path, Owner: "d1"}, nil, func(oakthread.EndpointUpdate) {}, monotime.Now(),
		slog.New(slog.DiscardHandler))
	saver := syncer.saver
	working := saver.store
	closed, _, err := Open(filepath.Join(t.TempDir(), "other.db"), "d1")
	require.NoError(t, err)
	require.NoError(t, closed.Close()) // every write to it fails

	saver.store = closed
	saver.latest = saveRequest{snapshot: sample(3)}
	saver.write()
	assert.True(t, saver.unsaved)
	assert.EqualValues(t, 1, syncer.FailedWrites())
	saver.store = working
	saver.write()
	assert.False(t, saver.unsaved)
	assert.EqualValues(t, 1, syncer.FailedWrites())

	saver.store = closed
	ended := make(chan struct{})
	go func() { defer close(ended); saver.run() }()
	saver.request(saveRequest{snapshot: sample(5), urgent: true, requestedAt: monotime.Now()})
	for startedAt := time.Now(); syncer.FailedWrites() < 4; {
		require.Less(t, time.Since(startedAt), 10*time.Second, "the failed write was not retried")
		time.Sleep(time.Millisecond)
	}
	close(saver.requests)
	<-ended
	require.NoError(t, working.Close())
	found, err := Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, found.Snapshot.Endpoints, 3)
}
