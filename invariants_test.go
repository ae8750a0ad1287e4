package oakthread

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requiredPaths are the code paths that the invariants page must cover.
var requiredPaths = []string{
	"shutdown", "reload", "retry", "hedge", "cancel", "idle close", "full house", "watch", "restart", "hand-over",
	"clock step", "failed syscall", "failed disk",
}

// definedFunctions returns the names of all functions and methods of the module.
func definedFunctions(t *testing.T) map[string]bool {
	definition := regexp.MustCompile(`(?m)^func (?:\([^)]*\) )?(\w+)`)
	names := map[string]bool{}
	require.NoError(t, filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range definition.FindAllSubmatch(text, -1) {
			names[string(m[1])] = true
		}
		return err
	}))
	return names
}

// Functions and tests named on the invariants page must exist in the code, and the page must cover
// every rule and every required path.
func TestInvariantsPage(t *testing.T) {
	text, err := os.ReadFile("docs/design/invariants.md")
	require.NoError(t, err)
	defined := definedFunctions(t)
	quoted := regexp.MustCompile("`(\\w+)`")
	rules, covered, paths := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if !regexp.MustCompile(`^I\d+$`).MatchString(cells[0]) {
			continue
		}
		if len(cells) == 3 {
			rules[cells[0]] = true
			continue
		}
		require.Len(t, cells, 4, line)
		covered[cells[0]], paths[cells[1]] = true, true
		for column, cell := range cells[2:] {
			names := quoted.FindAllStringSubmatch(cell, -1)
			assert.True(t, len(names) > 0 || cell == "*open*", "neither a name nor *open*: %s", line)
			for _, name := range names {
				assert.True(t, defined[name[1]], "%s does not exist in the code: %s", name[1], line)
				assert.Equal(t, column == 1, strings.HasPrefix(name[1], "Test"), "%s: %s", name[1], line)
			}
		}
	}
	assert.NotEmpty(t, rules)
	assert.Equal(t, rules, covered, "every rule must have a row, and every row a rule")
	for _, path := range requiredPaths {
		assert.True(t, paths[path], "no row for the path %q", path)
	}
}
