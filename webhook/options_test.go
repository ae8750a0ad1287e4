package webhook

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Options with which a call could run twice, or that the front cannot start with, are rejected with
// a one-line error.
func TestInvalidOptionsAreRejected(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "keys"), []byte("# rotated today\n"+secret(1)+"\n"), 0o600))
	operator := "[[operator]]\nname='a'\ntenant='ironbridge-haul'\nkeys_file='keys'\n"
	for text, wantErr := range map[string]string{
		operator:                                                                "must not run twice",
		"classes=['path-check']\n" + operator:                                   "",
		"state='s'\n" + operator:                                                "",
		"state='s'\nkeep='1m'\n" + operator:                                     "keep",
		"state='s'\nkeep='week'\n" + operator:                                   "week",
		"state='s'\nkeys='x'\n" + operator:                                      "unknown key",
		"state='s'\n":                                                           "no operator",
		"classes=['path-walk']\n" + operator:                                    "path-walk",
		"classes=['path-check']\nnotify=['path-check']\n" + operator:            "state file",
		"state='s'\n" + strings.Replace(operator, "'keys'", "'none'", 1):        "keys_file",
		"state='s'\n" + strings.Replace(operator, "ironbridge-haul", "acme", 1): "acme",
		"state='s'\n" + strings.Replace(operator, "name='a'", "name='a'\nspiffe_id='http:'", 1): "spiffe_id",
	} {
		path := filepath.Join(dir, "webhooks.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		err := openAndRelease(path)
		if wantErr == "" {
			assert.NoError(t, err, text)
		} else if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), wantErr)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

// openAndRelease opens a front with the options at path and releases it.
func openAndRelease(path string) error {
	options, err := ReadOptions(path)
	if err != nil {
		return err
	}
	front, err := Open(options, newFakeCore(), classSource(), tenants, nil, discardLog)
	if err == nil {
		front.release()
	}
	return err
}
