package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/adminapi"
	"oakthread/internal/endpointcache"
)

// run runs a command line and returns its combined output and its error.
func run(t *testing.T, args ...string) (out string, err error) {
	t.Helper()
	var b bytes.Buffer
	err = Run(t.Context(), Env{Getenv: func(string) string { return "" }, Out: &b, Err: &b}, args)
	return b.String(), err
}

// newCacheFile writes a list of three endpoints, the last of which is draining, and returns its
// path.
func newCacheFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.db")
	store, _, err := endpointcache.Open(path, "d7")
	require.NoError(t, err)
	saved := time.Now().Add(-6 * time.Hour)
	snapshot := endpoints.Snapshot{Epoch: "e", Cursor: 9, ConfirmedAt: saved, SavedAt: saved}
	for i := 1; i <= 3; i++ {
		snapshot.Endpoints = append(snapshot.Endpoints, endpoints.Endpoint{
			ID:          balancer.WorkerID(i),
			Addr:        fmt.Sprint("127.0.0.1:", 90+i),
			State:       balancer.Active,
			Weight:      2,
			RequestRate: 1.5,
		})
	}
	snapshot.Endpoints[2].State = balancer.Draining
	require.NoError(t, store.Write(snapshot))
	require.NoError(t, store.Close())
	return path
}

// formerNames maps the current names of commands to their former, hidden names.
var formerNames = map[string]string{"endpoints": "list", "health": "verdicts"}

// withFormerNames runs a test for a command under its current and its former name.
func withFormerNames(t *testing.T, name string, test func(t *testing.T, name string)) {
	t.Helper()
	for _, n := range []string{name, formerNames[name]} {
		t.Run(n, func(t *testing.T) { test(t, n) })
	}
}

// The exit code is 2 for an invalid command line, 1 for a command that fails, and 0 for help.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[list]\npaht='x'\n"), 0o600))
	for _, c := range []struct {
		code int
		args []string
	}{
		{0, []string{"--help"}},
		{0, []string{"serve", "--help"}},
		{0, []string{"help"}},
		{2, []string{"odd"}},
		{2, []string{"--odd"}},
		{2, []string{"-odd"}},
		{2, []string{"config", "check"}},
		{1, []string{"serve"}},
		{1, []string{}},
		{1, []string{"serve", "--config", "none.toml"}},
		{1, []string{"-webhooks", "none.toml"}},
		{1, []string{"config", "check", bad}},
	} {
		assertExitCode(t, c.code, c.args...)
	}
	withFormerNames(t, "endpoints", func(t *testing.T, name string) {
		path := newCacheFile(t)
		for _, c := range []struct {
			code int
			args []string
		}{
			{0, []string{"show", "--help"}},
			{2, nil},
			{2, []string{"show"}},
			{2, []string{"odd"}},
			{2, []string{"forget", path}},
			{2, []string{"forget", path, "--all", "s-00000001"}},
			{2, []string{"forget", path, "box"}},
			{1, []string{"show", "none.db"}},
			{1, []string{"verify", bad}},
			{1, []string{"import", path, "none.json"}},
			{1, []string{"forget", path, "s-000000ff"}},
			{0, []string{"show", path}},
			{0, []string{"verify", path}},
			{0, []string{"forget", path, "s-00000001"}},
		} {
			assertExitCode(t, c.code, append([]string{name}, c.args...)...)
		}
	})
	withFormerNames(t, "health", func(t *testing.T, name string) {
		assertExitCode(t, 0, name, "show", "--help")
		assertExitCode(t, 2, name)
		assertExitCode(t, 2, name, "show", "odd")
	})
}

// assertExitCode runs a command line and checks its exit code and that an error has a single line.
func assertExitCode(t *testing.T, code int, args ...string) {
	t.Helper()
	_, err := run(t, args...)
	assert.Equal(t, code, ExitCode(err), "%v: %v", args, err)
	if err != nil {
		assert.NotContains(t, err.Error(), "\n")
	}
}

// The help text shows the current names of commands, not their former names.
func TestFormerNamesAreHidden(t *testing.T) {
	out, err := run(t, "--help")
	require.NoError(t, err)
	for name, former := range formerNames {
		assert.Regexp(t, `(?m)^  `+name+` `, out)
		assert.NotRegexp(t, `(?m)^  `+former+` `, out)
	}
}

// Exporting and importing a list preserves it, forget removes the named workers, and a list that a
// dispatcher has open can be read but not changed.
func TestEndpointListCommands(t *testing.T) {
	withFormerNames(t, "endpoints", testEndpointListCommands)
}

func testEndpointListCommands(t *testing.T, name string) {
	path := newCacheFile(t)
	out, err := run(t, name, "show", path)
	require.NoError(t, err)
	for _, want := range []string{
		"dispatcher d7", `epoch "e"`, "cursor 9", "s-00000003", "draining", "6h0m0s", "never",
	} {
		assert.Contains(t, out, want)
	}
	exported, err := run(t, name, "export", path)
	require.NoError(t, err)
	var list endpointList
	require.NoError(t, json.Unmarshal([]byte(exported), &list))
	assert.InDelta(t, 0.816, list.Endpoints[0].Confidence, 0.01, "(12/18)^0.5 after six hours")
	file := filepath.Join(t.TempDir(), "list.json")
	require.NoError(t, os.WriteFile(file, []byte(exported), 0o600))
	other := filepath.Join(t.TempDir(), "other.db")
	_, err = run(t, name, "import", other, file, "--owner", "d8")
	require.NoError(t, err)
	original, err := endpointcache.Read(path, "d7")
	require.NoError(t, err)
	imported, err := endpointcache.Read(other, "d8")
	require.NoError(t, err)
	assert.True(t, original.Snapshot.ConfirmedAt.Equal(imported.Snapshot.ConfirmedAt))
	assert.Equal(t, original.Snapshot.Endpoints, imported.Snapshot.Endpoints)

	_, err = run(t, name, "forget", path, "s-00000002")
	require.NoError(t, err)
	_, err = run(t, name, "forget", path, "--all")
	require.NoError(t, err)
	original, err = endpointcache.Read(path, "d7")
	require.NoError(t, err)
	assert.Empty(t, original.Snapshot.Endpoints)
	assert.Zero(t, original.Snapshot.Cursor, "so that discovery sends the full list")

	for text, want := range map[string]string{
		"{":               "list.json",
		`{"watched":"x"}`: "watched",
		`{"watched":"1s","boxes":[{"id":"q","state":"on"}]}`:     "boxes[0]",
		`{"watched":"1s","boxes":[{"id":"s-01","state":"odd"}]}`: "odd",
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err = run(t, name, "import", other, file)
		assert.ErrorContains(t, err, want)
	}
	store, _, err := endpointcache.Open(other, "d8")
	require.NoError(t, err)
	defer func() { assert.NoError(t, store.Close()) }()
	_, err = run(t, name, "forget", other, "--all")
	require.ErrorIs(t, err, endpointcache.ErrInUse)
	_, err = run(t, name, "show", other)
	require.NoError(t, err, "reading while a dispatcher has the file open")
}

// The check reports that the file is valid and which parts it turns on.
func TestConfigCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.toml")
	require.NoError(t, os.WriteFile(path, []byte("[list]\npath='l.db'\n"), 0o600))
	out, err := run(t, "config", "check", path)
	require.NoError(t, err)
	assert.Contains(t, out, "is sound")
	assert.Contains(t, out, "l.db")
	assert.Contains(t, out, "webhooks  off")
}

// The health of workers is printed as a row for each worker that is not healthy, for every worker
// with --all, or as JSON. Errors say what is wrong.
func TestHealthShow(t *testing.T) {
	withFormerNames(t, "health", testHealthShow)
}

func testHealthShow(t *testing.T, name string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "/control/verdicts", r.URL.Path)
		_ = json.NewEncoder(w).Encode([]adminapi.WorkerHealth{
			{
				Worker: 16094, State: "left out", Evidence: "3 of 3 observers were not served",
				Observers: [2]int{0, 3}, GossipAgeMS: 40,
			},
			{Worker: 256, State: "well", GossipAgeMS: -1},
		})
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	out, err := run(t, name, "show", "--console", address)
	require.NoError(t, err)
	assert.Regexp(t, `16094 +0 +left out +0.0 +0 % +0.0 +0:3 +40ms ago +- +3 of 3 observers were not served`, out)
	assert.Contains(t, out, "1 of 2 executors are well")
	assert.NotContains(t, out, "256")
	out, err = run(t, name, "show", "--all", "--console", address)
	require.NoError(t, err)
	assert.Contains(t, out, "256")
	out, err = run(t, name, "show", "--json", "--console", address)
	require.NoError(t, err)
	assert.True(t, json.Valid([]byte(out)))
	_, err = run(t, name, "show")
	assert.ErrorContains(t, err, "name one by --console")
	assert.Equal(t, 1, ExitCode(err))
	server.Close()
	_, err = run(t, name, "show", "--console", address)
	assert.ErrorContains(t, err, "refused")
}
