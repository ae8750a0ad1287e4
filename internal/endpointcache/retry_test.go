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

// A list that could not be written is tried again by itself, without further news, and is on disk once that works.
func TestFailedWritesAreTriedAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	k := NewKeeper(Options{Path: path, Owner: "d1"}, nil, func(oakthread.EndpointUpdate) {}, monotime.Now(), slog.New(slog.DiscardHandler))
	working := k.store
	other, _, err := Open(filepath.Join(t.TempDir(), "other.db"), "d1")
	require.NoError(t, err)
	require.NoError(t, other.Close())
	k.store = other // writes on it fail

	w := writer{syncer: k, latest: saveRequest{snapshot: sample(3)}}
	w.write()
	assert.True(t, w.pending)
	assert.EqualValues(t, 1, k.FailedWrites())
	k.store = working
	w.write()
	assert.False(t, w.pending)
	assert.EqualValues(t, 1, k.FailedWrites())

	k.store = other
	ended := make(chan struct{})
	go func() { defer close(ended); k.runWriter() }()
	k.requestSave(saveRequest{snapshot: sample(5), urgent: true, requestedAt: monotime.Now()})
	for begun := time.Now(); k.FailedWrites() < 4; {
		require.Less(t, time.Since(begun), 10*time.Second, "one piece of news, and no further try")
		time.Sleep(time.Millisecond)
	}
	close(k.saves)
	<-ended
	require.NoError(t, working.Close())
	f, err := Read(path, "d1")
	require.NoError(t, err)
	assert.Len(t, f.Kept.Endpoints, 3)
}
