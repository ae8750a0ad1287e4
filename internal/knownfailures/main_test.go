package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newModule writes a small module with tests that pass and fail, and a list of known failures. ran
// returns the names of the tests that have run since it was last called, one a line.
func newModule(t *testing.T, list string) (root string, ran func() string) {
	t.Helper()
	root = t.TempDir()
	for name, text := range map[string]string{
		"go.mod":       "module small\n\ngo 1.26\n",
		"a/a_test.go":  testFile("TestGood", "") + testFunc("TestBad", `t.Fatal("bad")`) + testFunc("TestBadly", ""),
		"b/b_test.go":  testFile("TestBad", ""),
		"root_test.go": testFile("TestRoot", ""),
		listName:       list,
	} {
		path := filepath.Join(root, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		if name != listName || text != "" {
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		}
	}
	record := filepath.Join(root, "ran")
	t.Setenv("SMALL_RAN", record)
	return root, func() string {
		raw, _ := os.ReadFile(record)
		_ = os.Remove(record)
		return string(raw)
	}
}

// testFile returns the text of a test file with one test, which records that it has run.
func testFile(name, body string) string {
	return `package x

import (
	"os"
	"testing"
)

func ran(t *testing.T) {
	f, err := os.OpenFile(os.Getenv("SMALL_RAN"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	f.WriteString(t.Name() + "\n")
	f.Close()
}
` + testFunc(name, body)
}

// testFunc returns the text of a further test of such a file.
func testFunc(name, body string) string {
	return "\nfunc " + name + "(t *testing.T) { ran(t); " + body + " }\n"
}

// Exactly the tests that the list names are skipped, in their package alone, and are run apart and
// printed. A list that is too long, malformed or names no test is an error; without a list no test
// is skipped.
func TestOnlyListedFailuresAreRunApart(t *testing.T) {
	for name, c := range map[string]struct {
		list, wantErr, prints string
		badRuns               int // of tests called TestBad
	}{
		"no file": {"", "go test", "", 2},
		"named": {
			"a.TestBad | it is bad | 31\n", "",
			"known red: a.TestBad fails, as known (issue 31: it is bad)", 2,
		},
		"fixed": {
			"a.TestBad | it is bad | 31\na.TestGood | was bad | #7\n", "",
			"known red: a.TestGood passes now: take its line out", 2,
		},
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
		"four": {
			"a.TestBad | x | 1\na.TestGood | x | 1\na.TestBadly | x | 1\nb.TestBad | x | 1\n",
			"more than 3 lines", "", 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			root, ran := newModule(t, c.list)
			var out strings.Builder
			err := run(t.Context(), root, []string{"-count=1"}, &out)
			if c.wantErr == "" {
				assert.NoError(t, err, out.String())
			} else {
				assert.ErrorContains(t, err, c.wantErr)
			}
			assert.Contains(t, out.String(), c.prints)
			got := ran()
			assert.Equal(t, c.badRuns, strings.Count(got, "TestBad\n"), got)
			if c.badRuns > 0 { // every test ran once, those of the list apart
				assert.Equal(t, 5, strings.Count(got, "\n"), got)
			}
		})
	}
}
