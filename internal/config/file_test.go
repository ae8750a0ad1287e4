package config

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An unknown key or an invalid value is a one-line error that names the file and, as far as they are
// known, the line, key and value.
func TestInvalidFilesAreRejected(t *testing.T) {
	for text, want := range map[string][]string{
		"[list]\npath = 3\n":                               {"line 2", "list.path", "path = 3"},
		"[list]\npath = 'x'\nmax_wait = 'soon'\n":          {"line 3", "list.max_wait", "soon"},
		"[list]\npath = 'x'\npaht = 'y'\n":                 {"line 3", "list.paht", "is no key"},
		"[lists]\npath = 'x'\n":                            {"line 1", "lists", "is no key"},
		"[list]\n":                                         {"line 1", "list.path", "is missing"},
		"[list]\npath = 'x'\ndiscovery = ['here']\n":       {"line 3", "list.discovery", `"here"`},
		"[list]\npath = 'x'\n\nbudget = 1.5 # much\n":      {"line 4", "list.budget", `"1.5"`},
		"[list]\npath = 'x'\nsiblings = 0\n":               {"line 3", "list.siblings", `"0"`},
		"[list]\npath = 'x'\nmax_wait = '-1s'\n":           {"line 3", "list.max_wait"},
		"[http2]\nstreams = 5\n":                           {"line 1", "http2.listen", "is no address"},
		"[http2]\nlisten = 'x:1'\nstreams = 0\n":           {"line 3", "http2.streams", `"0"`},
		"[log]\nformat = 'xml'\n":                          {"line 2", "log.format", `"xml"`},
		"[log]\nlevel = 'loud'\n":                          {"line 2", "log.level", `"loud"`},
		"[log]\nformat\n":                                  {"line 2", "log"},
		"[list]\npath = 'a'\npath = 'b'\n":                 {"line 3", "list.path"},
		"[webhooks]\nlisten = '127.0.0.1:1'\n":             {"webhooks", "no operator"},
		"[webhooks]\nkeep = '1s'\n[[webhooks.operator]]\n": {"webhooks", "keep"},
		"[webhooks]\nlisten = 5\n[[webhooks.operator]]\n":  {"line 2", "webhooks.listen"},
		"[list]\npath = 'x'\n[list.deep]\nodd = 1\n":       {"list.deep"},
	} {
		_, err := Parse("some/op.toml", text)
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), "some/op.toml: ")
			assert.NotContains(t, err.Error(), "\n")
			for _, part := range want {
				assert.Contains(t, err.Error(), part, text)
			}
		}
	}
	_, err := Read(filepath.Join(t.TempDir(), "none.toml"))
	assert.ErrorContains(t, err, "none.toml")
}

// Paths are resolved, the log handler has the configured format and level, and an empty file turns
// nothing on.
func TestParsedFile(t *testing.T) {
	f, err := Parse("etc/op.toml", "[log]\nformat='json'\nlevel='warn'\n"+
		"[list]\npath='state/list.db'\ndiscovery=['127.0.0.1:7','127.0.0.1:8']\nmax_wait='2s'\n")
	require.NoError(t, err)
	assert.Equal(t, &EndpointCache{
		Path:          "etc/state/list.db",
		Discovery:     []string{"127.0.0.1:7", "127.0.0.1:8"},
		MaxRetryAfter: Duration{2 * time.Second},
	}, f.EndpointCache)
	assert.Nil(t, f.Webhooks)
	var out bytes.Buffer
	log := slog.New(f.Handler(&out))
	log.Info("suppressed")
	log.Warn("written")
	assert.Contains(t, out.String(), `"msg":"written"`)
	assert.NotContains(t, out.String(), "suppressed")
	f, err = Parse("op.toml", "")
	require.NoError(t, err)
	assert.Nil(t, f.EndpointCache, "an empty file turns nothing on")
}

// The example configuration that operators start from is valid and contains the documented sections
// and keys.
func TestDeployedExampleIsValid(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "oakthread.toml")
	f, err := Read(path)
	require.NoError(t, err)
	require.NotNil(t, f.EndpointCache)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, key := range []string{
		"[log]", "[list]", "[webhooks]", "probe_rate", "budget", "max_wait", "siblings", "discovery",
	} {
		assert.Contains(t, string(raw), key)
	}
}
