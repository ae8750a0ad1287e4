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

// runAsProgramEnv, if set, makes the test binary run the program itself, so that processes and exit
// codes are real.
const runAsProgramEnv = "OAKLAB_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A short run of real processes under overlapping faults has no violations, and a second run in the
// same directory is refused.
func TestSoakRunUnderFaults(t *testing.T) {
	program := lab.Program{Path: os.Args[0], Args: []string{"dispatch"}, Env: []string{runAsProgramEnv + "=1"}}
	s := soak.Draw(1, 4, []soak.Kind{
		soak.Terminate, soak.ClientsLeave, soak.AcceptFails, soak.ClockStep,
		soak.ExecutorReset, soak.ReloadInvalid,
	})
	dir := filepath.Join(t.TempDir(), "run")
	r, err := soak.Run(t.Context(), s, dir, program)
	require.NoError(t, err)
	if r.Inconclusive() {
		t.Logf("inconclusive: the test process stalled for %v", r.Stalled)
	}
	assert.Empty(t, r.Violations)
	assert.Greater(t, r.Served, 100, "of %d requests", r.Requests)
	_, err = soak.Run(t.Context(), s, dir, program)
	assert.ErrorIs(t, err, soak.ErrRunDirExists)
}

// Short runs drawn from seeds have no violations: series of signals, with SIGKILL as early as the
// platform may send it, many clients that keep their connections, shutdowns while workers hang, and
// a long discovery outage during which workers drain. The command "testbed run soak" is the long
// form.
func TestSeededSoakRuns(t *testing.T) {
	program := lab.Program{Path: os.Args[0], Args: []string{"dispatch"}, Env: []string{runAsProgramEnv + "=1"}}
	for _, test := range []struct {
		name string
		seed uint64
		only []soak.Kind
	}{
		{"outage", 4002, nil},
		{"signals and many clients", 3, []soak.Kind{soak.Signals, soak.ClientsCrowd, soak.Reload}},
		{"shutdowns while workers hang", 4, []soak.Kind{soak.Terminate, soak.ExecutorHang, soak.ClientsCrowd}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			dir := filepath.Join(t.TempDir(), "run")
			run, err := soak.Run(t.Context(), soak.Draw(test.seed, 4, test.only), dir, program)
			require.NoError(t, err)
			t.Logf("%d requests, %d unsent, %d served; test process stalled for %v",
				run.Requests, run.Unsent, run.Served, run.Stalled)
			assert.Empty(t, run.Violations)
		})
	}
}
