package lab

import (
	"context"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against wrong resource figures: the measured CPU time and memory of this process match
// getrusage and the memory that the test allocates.
func TestProcessUsage(t *testing.T) {
	before, err := usageOf(os.Getpid())
	require.NoError(t, err)
	ballast := make([]byte, 32<<20)
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
		for i := range ballast {
			ballast[i]++
		}
	}
	var use unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_SELF, &use))
	after, err := usageOf(os.Getpid())
	require.NoError(t, err)
	runtime.KeepAlive(ballast)
	assert.InDelta(t, float64(use.Utime.Nano()+use.Stime.Nano()), float64(after.cpu), float64(30*time.Millisecond),
		"against getrusage")
	assert.Greater(t, after.cpu, before.cpu)
	assert.Greater(t, after.resident, int64(32<<20))
	_, err = usageOf(1 << 22) // above the largest process id
	require.Error(t, err)
}

// Three processes and three hollow dispatchers get the same load: all figures are present, and the
// bounds on message bytes and violations hold.
func TestCalibrateSmall(t *testing.T) {
	program := filepath.Join(t.TempDir(), "oakthread")
	text, err := exec.Command("go", "build", "-o", program, "oakthread/cmd/dispatcher").CombinedOutput()
	require.NoError(t, err, string(text))
	c := calibration{
		sizes: []int{3}, calls: 20, functions: 30, warm: 2 * time.Second, span: 3 * time.Second,
		program: Program{Path: program, Args: []string{"serve"}},
	}
	rep, err := c.run(t.Context(), Options{Seed: 1, Dir: t.TempDir(), Log: t.Logf})
	require.NoError(t, err)
	var out strings.Builder
	rep.Print(&out)
	t.Log(out.String())
	for _, row := range rep.Rows {
		require.Len(t, row.Values, 3)
		assert.False(t, math.IsNaN(float64(row.Values[0])), row.Name)
	}
	for _, b := range rep.Bounds {
		// the weighted value depends on the machine's speed
		if strings.Contains(b.Name, "bytes") || strings.Contains(b.Name, "breaches") {
			assert.True(t, b.Holds, "%+v", b)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, err = c.run(ctx, Options{Seed: 1, Dir: t.TempDir(), Log: t.Logf})
	require.ErrorIs(t, err, context.Canceled)
	c.program.Path = filepath.Join(t.TempDir(), "none")
	_, err = c.run(t.Context(), Options{Seed: 1, Dir: t.TempDir(), Log: t.Logf})
	require.ErrorContains(t, err, "calibration: ")
	assert.NotContains(t, err.Error(), "\n")
}
