package daemon

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The soft limit leaves room for the program's own pages, however little memory there is.
func TestRuntimeMemoryLimitLeavesRoomForProgram(t *testing.T) {
	const megabyte = 1 << 20
	for _, test := range []struct{ memory, files, limit int64 }{
		{32 * megabyte, 11 * megabyte, 19 * megabyte},
		{200 * megabyte, 11 * megabyte, 140 * megabyte},
		{16 * megabyte, 11 * megabyte, minRuntimeLimit},
	} {
		assert.InDelta(t, test.limit, runtimeMemoryLimit(test.memory, test.files), 1, "%+v", test)
	}
	assert.Positive(t, residentFileBytes())
}

func TestMaxFunctions(t *testing.T) {
	assert.Zero(t, maxFunctions(0), "the default")
	assert.Equal(t, 8192, maxFunctions(32<<20))
}
