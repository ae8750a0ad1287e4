package loganalysis

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Results of an attempt that count as failures of the worker. A full queue or a canceled attempt
// does not.
var failureResults = []string{"error", "timeout", "connect_failed", "reset"}

// resultFull is the result of an attempt that the worker rejected because its queue was full.
const resultFull = "full"

// Counts are numbers of events by kind.
type Counts map[string]int

// String lists the counts in descending order, such as "ok 12, full 3", or "-" if there are none.
func (c Counts) String() string {
	kinds := slices.SortedFunc(maps.Keys(c), func(a, b string) int {
		return cmp.Or(c[b]-c[a], strings.Compare(a, b))
	})
	parts := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		parts = append(parts, fmt.Sprintf("%s %d", kind, c[kind]))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}

// failures returns the number of results that count as failures of the worker.
func (c Counts) failures() (n int) {
	for _, result := range failureResults {
		n += c[result]
	}
	return n
}

func isFailure(result string) bool { return slices.Contains(failureResults, result) }
