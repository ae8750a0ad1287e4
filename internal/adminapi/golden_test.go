package adminapi

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

var updateGolden = flag.Bool("update", false, "update the golden files")

// golden compares text with a golden file, which -update writes first.
func golden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), text)
}

// goldenWorkerID maps the ids of the three workers in the endpoint list and of one that is not in it.
func goldenWorkerID(name string) balancer.WorkerID {
	return map[string]balancer.WorkerID{"s-1": 1, "s-2": 2, "s-last": math.MaxUint32, "s-9": 9}[name]
}

// goldenCore provides Sources with a distinct value in every field.
type goldenCore struct {
	fakeSources
	unready, stale bool
}

func (g *goldenCore) sources() Sources {
	src := g.fakeSources.sources()
	src.CoreReady = func() bool { return !g.unready }
	src.Counters = func(context.Context) Counters {
		if g.stale {
			return Counters{Pending: 15, Reloads: 16, FailedReloads: 17, Stale: true}
		}
		return Counters{Attempts: 11, Pending: 12, Reloads: 13, FailedReloads: 14, Ejected: []balancer.WorkerID{2}}
	}
	src.ForEachClass = func(fn func(string, int64, int64, int64)) {
		fn("path-check", 4, 5, 6)
		fn("path-book", 1, 2, 3)
	}
	src.WorkerHealth = func(context.Context) ([]WorkerHealth, bool) {
		return []WorkerHealth{
			{
				Worker: math.MaxUint32, Zone: 1, State: "left out", Evidence: "3 of 4 observers were not served",
				RecentSuccesses: 2.5, FailureFraction: 0.75, LatencyRatio: 1.125, Observers: [2]int{5, 6},
				GossipAgeMS: 7, NextCheckInMS: 8, Unreachable: true,
			},
			{Worker: 9, State: "well", GossipAgeMS: -1},
		}, !g.busy
	}
	return src
}

func goldenEndpoints() oakthread.EndpointUpdate {
	return oakthread.EndpointUpdate{
		Kind: balancer.EndpointsSnapshot,
		Endpoints: []oakthread.Endpoint{
			{ID: 1, State: balancer.Active},
			{ID: 2, State: balancer.Active},
			{ID: math.MaxUint32, State: balancer.Active},
		},
	}
}

// Every request is answered with the same status, content type and body as by an earlier build.
func TestAnswersMatchGolden(t *testing.T) {
	var core goldenCore
	server := New(core.sources(), "", goldenWorkerID, slog.New(slog.DiscardHandler))
	server.UpdateEndpoints(goldenEndpoints())
	h := server.Handler()
	var b strings.Builder
	for _, step := range []struct {
		state  string
		set    func()
		method string
		paths  string
	}{
		{"the core has no list", func() { core.unready = true }, "GET", "ready"},
		{"the core has a list", func() { core.unready = false }, "GET", "ready counters verdicts"},
		{"the core is busy", func() { core.stale, core.busy = true, true }, "GET", "ready counters verdicts"},
		{
			"the core answers again", func() { core.stale, core.busy = false, false }, "POST",
			"executors/s-1/offline executors/s-1/offline executors/s-last/offline executors/s-2/online",
		},
		{"two executors are offline", nil, "GET", "ready counters"},
		{"two executors are offline", nil, "POST", "executors/s-1/online executors/s-last/online"},
		{"none is offline", nil, "GET", "counters"},
		{"ids that are not known", nil, "POST", "executors/s-9/offline executors/s-9/online executors/%22/offline"},
		{"in service", nil, "POST", "out-of-service out-of-service"},
		{"out of service", nil, "GET", "ready counters"},
		{"out of service", nil, "POST", "in-service"},
		{"in service", nil, "GET", "ready"},
		{"wrong method", nil, "POST", "ready counters verdicts"},
		{"wrong method", nil, "GET", "executors/s-1/offline executors/s-1/online out-of-service in-service"},
		{"wrong method", nil, "DELETE", "ready executors/s-1/offline"},
		{"unknown path", nil, "GET", "nothing executors executors/s-1 ready/ ../control ../"},
		{"unknown path", nil, "POST", "executors//offline executors/s-1/else"},
	} {
		if step.set != nil {
			step.set()
		}
		for _, p := range strings.Fields(step.paths) {
			path := "/control/" + p
			if up, ok := strings.CutPrefix(p, ".."); ok {
				path = up
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(step.method, path, http.NoBody))
			r := w.Result()
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			fmt.Fprintf(&b, "# %s\n%s %s\n%d, %s, %d bytes\n%s\n", step.state, step.method, path, r.StatusCode,
				r.Header.Get("Content-Type"), len(body), body)
		}
	}
	golden(t, "answers.golden", b.String())
}

// The ban file is written byte for byte as by an earlier build, with bans and without.
func TestBanFileIsWrittenIdentically(t *testing.T) {
	var core goldenCore
	path := filepath.Join(t.TempDir(), "bans.json")
	server := New(core.sources(), path, goldenWorkerID, slog.New(slog.DiscardHandler))
	server.UpdateEndpoints(goldenEndpoints())
	assert.NoFileExists(t, path, "before any call")
	for _, x := range []struct{ calls, golden string }{
		{"s-last/offline s-1/offline", "bans.json"},
		{"s-1/online s-last/online", "no-bans.json"},
	} {
		for _, p := range strings.Fields(x.calls) {
			code, _ := call(t, server.Handler(), "POST", "/control/executors/"+p)
			require.Equal(t, 200, code, p)
		}
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		golden(t, x.golden, string(raw))
	}
}

// The bans in a file that an earlier build wrote are applied.
func TestGoldenBanFileIsReadable(t *testing.T) {
	for name, want := range map[string][]balancer.WorkerID{"bans.json": {1, math.MaxUint32}, "no-bans.json": nil} {
		var core goldenCore
		server := New(core.sources(), filepath.Join("testdata", name), goldenWorkerID, slog.New(slog.DiscardHandler))
		server.UpdateEndpoints(goldenEndpoints())
		var drained []balancer.WorkerID
		for _, m := range core.updates[0].Endpoints {
			if m.State == balancer.Draining {
				drained = append(drained, m.ID)
			}
		}
		assert.Equal(t, want, drained, name)
	}
}

// The ban file has the same name as in an earlier build.
func TestBanFileNameIsUnchanged(t *testing.T) {
	for listen, want := range map[string]string{
		"127.0.0.1:9090": "oakthread-bans-127.0.0.1_9090.json",
		"[::1]:9090":     "oakthread-bans-__1_9090.json",
		":9090":          "oakthread-bans-_9090.json",
		"/run/oak.sock":  "oakthread-bans-_run_oak.sock.json",
	} {
		assert.Equal(t, filepath.Join("dir", want), BanFilePath("dir", listen))
	}
}
