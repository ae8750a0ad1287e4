package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// module is a small module with tests that pass and fail; each that runs leaves a line in ran.
func module(t *testing.T, list string) (root string, ran func() string) {
	root = t.TempDir()
	for name, text := range map[string]string{
		"go.mod":       "module small\n\ngo 1.26\n",
		"a/a_test.go":  suite("TestGood", "") + one("TestBad", `t.Fatal("bad")`) + one("TestBadly", ""),
		"b/b_test.go":  suite("TestBad", ""),
		"root_test.go": suite("TestRoot", ""),
		listName:       list,
	} {
		path := filepath.Join(root, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		if name != listName || text != "" {
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		}
	}
	seen := filepath.Join(root, "ran")
	t.Setenv("SMALL_RAN", seen)
	return root, func() string {
		raw, _ := os.ReadFile(seen)
		_ = os.Remove(seen)
		return string(raw)
	}
}

func suite(name, body string) string {
	return "package x\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nfunc ran(t *testing.T) {\n\tf, err := os.OpenFile(os.Getenv(\"SMALL_RAN\"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)\n" +
		"\tif err != nil {\n\t\tt.Fatal(err)\n\t}\n\tf.WriteString(t.Name() + \"\\n\")\n\tf.Close()\n}\n" + one(name, body)
}

func one(name, body string) string {
	return "\nfunc " + name + "(t *testing.T) { ran(t); " + body + " }\n"
}

// Guards the test command: just the tests that the file names are passed over, in their package alone, and are run apart
// and printed; a file that is too long, malformed or names no test fails it; without a file nothing is passed over.
func TestKnownRed(t *testing.T) {
	for name, c := range map[string]struct {
		list, err, prints string
		bad               int // runs of tests called TestBad
	}{
		"no file":         {"", "go test", "", 2},
		"named":           {"a.TestBad | it is bad | 31\n", "", "known red: a.TestBad fails, as known (issue 31: it is bad)", 2},
		"mended":          {"a.TestBad | it is bad | 31\na.TestGood | was bad | #7\n", "", "known red: a.TestGood passes now: take its line out", 2},
		"root":            {"TestRoot | was bad | 7\n", "go test", "known red: .TestRoot passes now", 2},
		"other package":   {"b.TestBad | it is bad | 31\n", "go test", "known red: b.TestBad passes now", 2},
		"no such test":    {"a.TestNone | it is bad | 31\n", "no test bears the name TestNone", "", 0},
		"part of a name":  {"a.TestGoo | it is bad | 31\n", "no test bears the name", "", 0},
		"no such package": {"c.TestBad | it is bad | 31\n", "does not exist", "", 0},
		"a pattern":       {"a.Test.* | it is bad | 31\n", "want TEST | CAUSE | ISSUE", "", 0},
		"no cause":        {"a.TestBad | | 31\n", "want TEST | CAUSE | ISSUE", "", 0},
		"no issue":        {"a.TestBad | it is bad | soon\n", "want TEST | CAUSE | ISSUE", "", 0},
		"blank line":      {"a.TestBad | it is bad | 31\n\n", "", "fails, as known", 2},
		"line between":    {"a.TestBad | it is bad | 31\n\na.TestGood | x | 1\n", "want TEST | CAUSE | ISSUE", "", 0},
		"twice":           {"a.TestBad | it is bad | 31\na.TestBad | it is bad | 31\n", "stands there twice", "", 0},
		"four":            {"a.TestBad | x | 1\na.TestGood | x | 1\na.TestBadly | x | 1\nb.TestBad | x | 1\n", "more than 3 lines", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			root, ran := module(t, c.list)
			var out strings.Builder
			err := run(t.Context(), root, []string{"-count=1"}, &out)
			if c.err == "" {
				assert.NoError(t, err, out.String())
			} else {
				assert.ErrorContains(t, err, c.err)
			}
			assert.Contains(t, out.String(), c.prints)
			got := ran()
			assert.Equal(t, c.bad, strings.Count(got, "TestBad\n"), got)
			if c.bad > 0 { // none but those named was passed over: all ran, those named apart
				assert.Equal(t, 5, strings.Count(got, "\n"), got)
			}
		})
	}
}
