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

func typed(t *testing.T, args ...string) (out string, err error) {
	var b bytes.Buffer
	err = Run(t.Context(), Env{Getenv: func(string) string { return "" }, Out: &b, Err: &b}, args)
	return b.String(), err
}

func keptFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "list.db")
	s, _, err := endpointcache.Open(path, "d7")
	require.NoError(t, err)
	now := time.Now()
	k := endpoints.Snapshot{Epoch: "e", Cursor: 9, Confirmed: now.Add(-6 * time.Hour), Saved: now.Add(-6 * time.Hour)}
	for i := 1; i <= 3; i++ {
		k.Endpoints = append(k.Endpoints, endpoints.Endpoint{ID: balancer.WorkerID(i), Addr: fmt.Sprint("127.0.0.1:", 90+i), State: balancer.Active, Weight: 2, RequestRate: 1.5})
	}
	k.Endpoints[2].State = balancer.Draining
	require.NoError(t, s.Write(k))
	require.NoError(t, s.Close())
	return path
}

// Guards scripts: what is asked for wrongly ends with 2, what cannot be done with 1, help with 0.
func TestExitCodes(t *testing.T) {
	path := keptFile(t)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[list]\npaht='x'\n"), 0o600))
	for _, c := range []struct {
		code int
		args []string
	}{
		{0, []string{"--help"}}, {0, []string{"serve", "--help"}}, {0, []string{"list", "show", "--help"}}, {0, []string{"help"}},
		{2, []string{"odd"}}, {2, []string{"--odd"}}, {2, []string{"-odd"}}, {2, []string{"list"}}, {2, []string{"list", "show"}}, {2, []string{"list", "odd"}},
		{2, []string{"config", "check"}}, {2, []string{"list", "forget", path}}, {2, []string{"list", "forget", path, "--all", "s-00000001"}},
		{2, []string{"list", "forget", path, "box"}},
		{1, []string{"serve"}}, {1, []string{}}, {1, []string{"serve", "--config", "none.toml"}}, {1, []string{"-webhooks", "none.toml"}},
		{1, []string{"config", "check", bad}}, {1, []string{"list", "show", "none.db"}}, {1, []string{"list", "verify", bad}},
		{1, []string{"list", "import", path, "none.json"}}, {1, []string{"list", "forget", path, "s-000000ff"}},
		{0, []string{"list", "show", path}}, {0, []string{"list", "verify", path}}, {0, []string{"list", "forget", path, "s-00000001"}},
	} {
		_, err := typed(t, c.args...)
		assert.Equal(t, c.code, Code(err), "%v: %v", c.args, err)
		if err != nil {
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

// Guards operators' work on a list: what is exported and imported is the same list, and forget drops what is named.
func TestListCommands(t *testing.T) {
	path := keptFile(t)
	out, err := typed(t, "list", "show", path)
	require.NoError(t, err)
	for _, want := range []string{"dispatcher d7", `epoch "e"`, "cursor 9", "s-00000003", "draining", "6h0m0s", "never"} {
		assert.Contains(t, out, want)
	}
	exported, err := typed(t, "list", "export", path)
	require.NoError(t, err)
	var l listing
	require.NoError(t, json.Unmarshal([]byte(exported), &l))
	assert.InDelta(t, 0.816, l.Boxes[0].Trust, 0.01, "(12/18)^0.5 after six hours")
	file := filepath.Join(t.TempDir(), "list.json")
	require.NoError(t, os.WriteFile(file, []byte(exported), 0o600))
	other := filepath.Join(t.TempDir(), "other.db")
	_, err = typed(t, "list", "import", other, file, "--owner", "d8")
	require.NoError(t, err)
	a, err := endpointcache.Read(path, "d7")
	require.NoError(t, err)
	b, err := endpointcache.Read(other, "d8")
	require.NoError(t, err)
	assert.True(t, a.Kept.Confirmed.Equal(b.Kept.Confirmed))
	assert.Equal(t, a.Kept.Endpoints, b.Kept.Endpoints)

	_, err = typed(t, "list", "forget", path, "s-00000002")
	require.NoError(t, err)
	_, err = typed(t, "list", "forget", path, "--all")
	require.NoError(t, err)
	a, err = endpointcache.Read(path, "d7")
	require.NoError(t, err)
	assert.Empty(t, a.Kept.Endpoints)
	assert.Zero(t, a.Kept.Cursor, "it is told anew in full")

	for text, want := range map[string]string{"{": "list.json", `{"watched":"x"}`: "watched", `{"watched":"1s","boxes":[{"id":"q","state":"on"}]}`: "boxes[0]",
		`{"watched":"1s","boxes":[{"id":"s-01","state":"odd"}]}`: "odd"} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err = typed(t, "list", "import", other, file)
		assert.ErrorContains(t, err, want)
	}
	held, _, err := endpointcache.Open(other, "d8")
	require.NoError(t, err)
	defer held.Close()
	_, err = typed(t, "list", "forget", other, "--all")
	require.ErrorIs(t, err, endpointcache.ErrInUse)
	_, err = typed(t, "list", "show", other)
	require.NoError(t, err, "reading beside a running dispatcher")
}

func TestConfigCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.toml")
	require.NoError(t, os.WriteFile(path, []byte("[list]\npath='l.db'\n"), 0o600))
	out, err := typed(t, "config", "check", path)
	require.NoError(t, err)
	assert.Contains(t, out, "is sound")
	assert.Contains(t, out, "l.db")
	assert.Contains(t, out, "webhooks  off")
}

// A row for each executor that is not well, all with --all, and one line that says what is wrong.
func TestVerdictsShow(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "/control/verdicts", r.URL.Path)
		_ = json.NewEncoder(w).Encode([]adminapi.Verdict{{Executor: 16094, Verdict: "left out", Evidence: "3 of 3 observers were not served", Observers: [2]int{0, 3}, WordAgeMS: 40},
			{Executor: 256, Verdict: "well", WordAgeMS: -1}})
	}))
	defer srv.Close()
	at := strings.TrimPrefix(srv.URL, "http://")
	out, err := typed(t, "verdicts", "show", "--console", at)
	require.NoError(t, err)
	assert.Regexp(t, `16094 +0 +left out +0.0 +0 % +0.0 +0:3 +40ms ago +- +3 of 3 observers were not served`, out)
	assert.Contains(t, out, "1 of 2 executors are well")
	assert.NotContains(t, out, "256")
	out, err = typed(t, "verdicts", "show", "--all", "--console", at)
	require.NoError(t, err)
	assert.Contains(t, out, "256")
	out, err = typed(t, "verdicts", "show", "--json", "--console", at)
	require.NoError(t, err)
	assert.True(t, json.Valid([]byte(out)))
	_, err = typed(t, "verdicts", "show")
	assert.ErrorContains(t, err, "name one by --console")
	assert.Equal(t, 1, Code(err))
	srv.Close()
	_, err = typed(t, "verdicts", "show", "--console", at)
	assert.ErrorContains(t, err, "refused")
}
