package filelock

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A lock excludes all others until it is released, which lets a waiting one through.
func TestLockExcludesUntilReleased(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := Try(path)
	require.NoError(t, err)
	_, err = Try(path)
	require.ErrorIs(t, err, ErrLocked)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = Acquire(ended, path)
	require.ErrorIs(t, err, ErrLocked)

	acquired := make(chan *Lock)
	go func() {
		lock, err := Acquire(t.Context(), path)
		assert.NoError(t, err)
		acquired <- lock
	}()
	first.Release()
	second := <-acquired
	_, err = Try(path)
	require.ErrorIs(t, err, ErrLocked)
	second.Release()
	(*Lock)(nil).Release()
}
