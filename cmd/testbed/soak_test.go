package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
	"oakthread/internal/soak"
)

// asProgram, where set, has the test binary be the program, so that processes and exit codes are real.
const asProgram = "OAKLAB_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// One short play of real processes under overlapping faults breaks no rule.
func TestOnePlayUnderTroubles(t *testing.T) {
	program := lab.Program{Path: os.Args[0], Args: []string{"dispatch"}, Env: []string{asProgram + "=1"}}
	s := soak.Draw(1, 4, []soak.Kind{
		soak.Terminate, soak.ClientsLeave, soak.AcceptFails, soak.ClockStep,
		soak.ExecutorReset, soak.ReloadInvalid,
	})
	dir := filepath.Join(t.TempDir(), "run")
	r, err := soak.Run(t.Context(), s, dir, program)
	require.NoError(t, err)
	if r.Inconclusive() {
		t.Logf("inconclusive: the laboratory stood still for %v", r.Stalled)
	}
	assert.Empty(t, r.Violations)
	assert.Greater(t, r.Served, 100, "of %d requests", r.Requests)
	_, err = soak.Run(t.Context(), s, dir, program)
	assert.ErrorIs(t, err, soak.ErrUsed)
}

// Short plays from seeds break no rule: signals in series with the kill at the platform's earliest, a crowd
// that keeps its connections, and a long outage of discovery with executors that drain meanwhile. The long
// run is testbed run soak.
func TestSeededPlays(t *testing.T) {
	program := lab.Program{Path: os.Args[0], Args: []string{"dispatch"}, Env: []string{asProgram + "=1"}}
	for _, test := range []struct {
		name string
		seed uint64
		only []soak.Kind
	}{
		{"outage", 4002, nil},
		{"signals and crowd", 3, []soak.Kind{soak.Signals, soak.ClientsCrowd, soak.Reload}},
		{"ends while executors hang", 4, []soak.Kind{soak.Terminate, soak.ExecutorHang, soak.ClientsCrowd}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			dir := filepath.Join(t.TempDir(), "run")
			run, err := soak.Run(t.Context(), soak.Draw(test.seed, 4, test.only), dir, program)
			require.NoError(t, err)
			t.Logf("%d requests, %d unsent, %d served; laboratory stalled %v",
				run.Requests, run.Unsent, run.Served, run.Stalled)
			assert.Empty(t, run.Violations)
		})
	}
}
