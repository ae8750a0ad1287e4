package loganalysis

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// read returns the events in the logs of dispatchers, which are files of testdata by name.
func read(t *testing.T, dispatchers ...string) *FleetLog {
	t.Helper()
	var l FleetLog
	for _, name := range dispatchers {
		text, err := os.ReadFile(filepath.Join("testdata", name+".log"))
		require.NoError(t, err)
		require.NoError(t, l.Read(name, bytes.NewReader(text)))
	}
	return &l
}

// readFleetLogs returns the events of two dispatchers. Both load function 7, the second
// while worker 1 holds its model; worker 2 fails and is ejected by the first.
func readFleetLogs(t *testing.T) *FleetLog {
	t.Helper()
	return read(t, "n0", "n1")
}

// Lines that are cut, garbled or foreign are counted and skipped.
func TestUnreadableLinesAreSkipped(t *testing.T) {
	l := readFleetLogs(t)
	require.Len(t, l.Dispatchers, 2)
	require.Equal(t, 14, l.Lines)
	require.Equal(t, 4, l.Skipped, "cut, ms no number, cut JSON, foreign")
}

// A load is unnecessary if another worker held the model shortly before.
func TestUnnecessaryLoadsAreCounted(t *testing.T) {
	l := readFleetLogs(t)
	started, unnecessary := l.Loads(8 * time.Second)
	require.Equal(t, []int{2, 1}, []int{started, unnecessary})
	_, unnecessary = l.Loads(time.Second)
	require.Zero(t, unnecessary, "the model was idle for longer than it stays loaded")
}

// Workers are summed over the dispatchers, those with the most failures first.
func TestWorkersAreSummedOverTheFleet(t *testing.T) {
	l := readFleetLogs(t)
	w := l.Workers()
	require.Equal(t, "2", w[0].ID, "most failures first")
	require.Equal(t, Counts{"error": 1, "connect_failed": 1}, w[0].Results)
	require.Equal(t, 4*time.Second, w[0].FailedFor)
	require.Equal(t, 1, w[0].Ejections)
	require.Equal(t, 2*time.Second, w[0].EjectionDelay)
	require.Equal(t, 2, w[0].Dispatchers)
	require.Equal(t, 2, w[2].Peak, "the load order and the call started within 100 ms")
	require.Equal(t, Counts{"ok": 1}, w[2].LoadOrders)
}

// Each second has the ejections in force at its end. Those of a zone end together.
func TestSecondsHoldEjectionsInForce(t *testing.T) {
	fleet := readFleetLogs(t).Seconds()
	require.Equal(t, 1, fleet[len(fleet)-1].Ejections, "worker 2 is ejected at n0 to the end")

	l := read(t, "n2") // a dispatcher that loses a zone and reaches it again
	require.Equal(t, []Second{
		{At: at(1), Attempts: 1, Full: 1, ByNumber: [5]int{2: 1}, Ejections: 2, Partitioned: 1},
		{At: at(2), Attempts: 1, ByNumber: [5]int{4: 1}},
	}, l.Seconds())
	require.Equal(t, []WorkerSecond{
		{At: at(1), ID: "4", Attempts: 1, Full: 1, Dispatchers: 1},
		{At: at(2), ID: "4", Attempts: 1, Dispatchers: 1},
	}, l.Overloaded(3))
}

// The report has the totals and the results of each worker.
func TestReport(t *testing.T) {
	var out strings.Builder
	require.NoError(t, readFleetLogs(t).Report(&out, 8*time.Second))
	require.Contains(t, out.String(),
		"2 dispatchers, 14 lines, 4 not readable; 2 loads begun by calls, 1 of them needless")
	require.Contains(t, out.String(), "connect_failed 1, error 1")
}

// at returns a Unix second of the logs.
func at(second int64) int64 {
	return time.Date(2026, 12, 1, 21, 0, 0, 0, time.UTC).Unix() + second
}
