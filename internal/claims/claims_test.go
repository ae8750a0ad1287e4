package claims

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A claim holds for its lifetime.
func TestClaimExpires(t *testing.T) {
	now := time.Hour
	table := New()
	table.now = func() time.Duration { return now }
	assert.False(t, table.IsClaimed("a"))
	assert.True(t, table.Claim("a"))
	now += lifetime
	assert.True(t, table.IsClaimed("a"))
	assert.False(t, table.Claim("a"))
	now++
	assert.False(t, table.IsClaimed("a"))
	assert.True(t, table.Claim("a"))
}

// After a restart of the machine, whose clock begins again, claims of before count no more.
func TestClaimsOfAnEarlierBootAreExpired(t *testing.T) {
	table := New()
	table.now = func() time.Duration { return time.Hour }
	table.Claim("a")
	table.now = func() time.Duration { return time.Minute }
	assert.False(t, table.IsClaimed("a"))
}

// A table that is full forgets the oldest claims, never the newest.
func TestFullTableForgetsOldest(t *testing.T) {
	var now time.Duration
	table := New()
	table.now = func() time.Duration { now++; return now }
	const count = 3 * slotCount
	for i := range count {
		assert.True(t, table.Claim(fmt.Sprint(i)))
	}
	for i := count - slotCount/8; i < count; i++ {
		assert.True(t, table.IsClaimed(fmt.Sprint(i)), i)
	}
}

// Of several tables of one file, exactly one gets each claim, also when all ask at once.
func TestProcessesShareClaims(t *testing.T) {
	path := FilePath(t.TempDir(), "127.0.0.1:80")
	const tables, ids = 4, 200
	var granted atomic.Int64
	var claimers sync.WaitGroup
	for range tables {
		table, err := OpenFile(path)
		require.NoError(t, err)
		claimers.Go(func() {
			for i := range ids {
				if table.Claim(fmt.Sprint(i)) {
					granted.Add(1)
				}
				assert.True(t, table.IsClaimed(fmt.Sprint(i)) || t.Failed())
			}
		})
	}
	claimers.Wait()
	assert.EqualValues(t, ids, granted.Load())
}

// A claim that another process's lock keeps from being made is not granted.
func TestClaimUnderForeignLockIsDenied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "claims")
	table, err := OpenFile(path)
	require.NoError(t, err)
	other, err := OpenFile(path)
	require.NoError(t, err)
	require.NoError(t, other.shared.Lock())
	assert.False(t, table.Claim("a"))
	other.shared.Unlock()
	assert.True(t, table.Claim("a"))
}

// A file of another size is not used.
func TestFileOfAnotherSizeIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "claims")
	require.NoError(t, os.WriteFile(path, []byte("x"), 0o600))
	_, err := OpenFile(path)
	assert.ErrorContains(t, err, path)
}
