package balancer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSettingsAreValidated checks that New returns an error that names the invalid setting.
func TestSettingsAreValidated(t *testing.T) {
	if _, err := New(0, testSettings(Idempotent, ScopeAll), 1, nil); err == nil {
		t.Error("New accepted a nil host")
	}
	for _, field := range []string{"LatencyObjective", "KeepAlive", "Classes"} {
		settings := testSettings(Idempotent, ScopeAll)
		switch field {
		case "LatencyObjective":
			settings.Classes[0].LatencyObjective = 0
		case "KeepAlive":
			settings.KeepAlive = -1
		case "Classes":
			settings.Classes = nil
		}
		if _, err := New(0, settings, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name the setting", field, err)
		}
	}
}

// TestFilesStaySmall checks that each source file of the package has at most 300 lines of at most
// 120 columns. An earlier limit of 910 lines in total over the policy files was withdrawn by the
// operators.
func TestFilesStaySmall(t *testing.T) {
	const maxLines, maxColumns = 300, 120
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
		if len(lines) > maxLines {
			t.Errorf("%s has %d lines", name, len(lines))
		}
		for i, line := range lines {
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > maxColumns {
				t.Errorf("%s:%d has %d columns", name, i+1, w)
			}
		}
	}
}

// TestInvalidInputChangesNothing checks that invalid messages, invalid senders and results of
// unknown workers change nothing in a large fleet, and that a balancer with mostly zero settings
// handles requests and timers.
func TestInvalidInputChangesNothing(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.DispatcherIndex, settings.Gossip = 250, 7, true
	balancer, host := newTestBalancer(t, settings, 4000)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	for _, from := range []int{-1, 7, 250, 1 << 30} {
		balancer.HandlePeerMessage(ms, from, encodedDigest(balancer, ms, []float64{9, 9}))
	}
	for _, text := range []string{"", "A", "AQ", "////////", "AAAAAAA", "\x00\xff", strings.Repeat("A", 400)} {
		balancer.HandlePeerMessage(ms, 3, text)
	}
	if balancer.fleetSum(completionsColumn) != 0 || len(balancer.holders.functions) != 1 {
		t.Fatalf("invalid messages were accepted: completions %v, %d functions", balancer.fleetSum(completionsColumn),
			len(balancer.holders.functions))
	}
	balancer.UpdateEndpoints(2*ms, EndpointsSnapshot, activeEndpoints(1))
	balancer.HandleRequest(3*ms, testRequest("b", 3*ms, 1))
	balancer.UpdateEndpoints(4*ms, EndpointsSnapshot, nil)
	balancer.HandleAttemptResult(5*ms, successful("long gone", 3))
	balancer.HandleLoadResult(5*ms, 9, 9, 1, OK)
	balancer.HandleHealthCheck(5*ms, 9, OK, 1, []float64{1})
	balancer.UpdateEndpoints(6*ms, EndpointUpdateKind(9), activeEndpoints(2))
	if host.lastWorker["b"] != 1 {
		t.Fatalf("call sent to worker %d, only worker 1 was listed", host.lastWorker["b"])
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
