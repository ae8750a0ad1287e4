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

// Guards against a list that the next version of an upgrade does not store for half a minute after
// the previous one has ended, so that a restart in between begins with an old list.
func TestFileOfEndedProcessIsOpenedSoon(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	previous, _, err := Open(path, "d1")
	require.NoError(t, err)
	next := newSaver(path, "d1", slog.New(slog.DiscardHandler))
	assert.True(t, next.open().IsEmpty)
	next.write()
	require.Nil(t, next.store, "in use")
	assert.LessOrEqual(t, next.reopenAt.Sub(monotime.Now()), reopenIntervalInUse)
	require.NoError(t, previous.Close())
	next.reopenAt = monotime.Now()
	next.write()
	assert.NotNil(t, next.store)
	assert.False(t, next.unsaved)
	next.close()
}
