package balancer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSettingsAreValidated(t *testing.T) {
	if _, err := New(0, testSettings(Idempotent, ScopeAll), 1, nil); err == nil {
		t.Error("a nil host was taken")
	}
	for _, field := range []string{"Aim", "KeepAlive", "Classes"} {
		s := testSettings(Idempotent, ScopeAll)
		switch field {
		case "Aim":
			s.Classes[0].LatencyObjective = 0
		case "KeepAlive":
			s.KeepAlive = -1
		case "Classes":
			s.Classes = nil
		}
		if _, err := New(0, s, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}

// TestFilesStaySmall keeps each file of the module to one decision's size: 300 lines of 140 columns.
// The limit of 910 lines over the files named under policy was withdrawn by the operators.
func TestFilesStaySmall(t *testing.T) {
	const mostLines, mostColumns = 300, 140
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) < 10 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > mostLines {
			t.Errorf("%s has %d lines", name, len(lines))
		}
		for i, line := range lines {
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > mostColumns {
				t.Errorf("%s:%d has %d columns", name, i+1, w)
			}
		}
	}
}

func TestInvalidInputChangesNothing(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers, s.DispatcherIndex, s.Gossip = 250, 7, true
	d, f := newTestBalancer(t, s, 4000)
	d.HandleRequest(0, testRequest("a", 0, 1))
	for _, from := range []int{-1, 7, 250, 1 << 30} {
		d.HandlePeerMessage(ms, from, encodedDigest(d, ms, []float64{9, 9}))
	}
	for _, text := range []string{"", "A", "AQ", "////////", "AAAAAAA", "\x00\xff", strings.Repeat("A", 400)} {
		d.HandlePeerMessage(ms, 3, text)
	}
	if d.fleetSum(completionsColumn) != 0 || len(d.holders.functions) != 1 {
		t.Fatalf("bad messages were taken: %v, %d functions", d.fleetSum(completionsColumn), len(d.holders.functions))
	}
	d.UpdateEndpoints(2*ms, EndpointsSnapshot, activeEndpoints(1))
	d.HandleRequest(3*ms, testRequest("b", 3*ms, 1))
	d.UpdateEndpoints(4*ms, EndpointsSnapshot, nil)
	d.HandleAttemptResult(5*ms, successful("long gone", 3))
	d.HandleLoadResult(5*ms, 9, 9, 1, OK)
	d.HandleHealthCheck(5*ms, 9, OK, 1, []float64{1})
	d.UpdateEndpoints(6*ms, EndpointUpdateKind(9), activeEndpoints(2))
	if f.lastWorker["b"] != 1 {
		t.Fatalf("sent to %d, one worker was listed", f.lastWorker["b"])
	}
	zero, err := New(0, Settings{Classes: []Class{{LatencyObjective: 1000 * ms}}, Gossip: true}, 1, newFakeHost())
	if err != nil {
		t.Fatal(err)
	}
	zero.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(2))
	zero.HandleRequest(0, testRequest("z", 0, 1))
	zero.HandleTimer(3000*ms, 1)
	fireTimers(zero, newFakeHost(), 3000*ms, 4000*ms)
}
