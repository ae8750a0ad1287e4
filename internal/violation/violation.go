// Package violation counts what broke a rule and was found out only afterwards: it should never happen, so each is told with
// what is known of it, once a second at the most, and in the laboratory ends the process.
package violation

import (
	"log/slog"
	"maps"
	"os"
	"sync"
	"time"

	"oakthread/internal/neterr"
)

// Rule names the rule that was broken, as docs/design/invariants.md has it.
type Rule string

// Rules of which breaches can be seen from inside.
const (
	Answered Rule = "I1" // a request that was taken gets its answer
	Once     Rule = "I4" // a call that must not run twice does not
	Refusal  Rule = "I5" // a refused call had no effect
	InTime   Rule = "I2" // by its time, with half a second beyond
)

// Path is where a breach was found.
type Path string

// Paths that look for breaches.
const (
	PathTake   Path = "take"   // a whole call, on a connection that was closed
	PathBook   Path = "book"   // a final answer
	PathLanded Path = "landed" // the end of an attempt
	PathEnd    Path = "end"    // the end of the front
)

// Recorder counts breaches. The zero value counts and tells nobody. Its methods may be called from many goroutines.
type Recorder struct {
	Log    *slog.Logger // nil: nothing is logged
	Strict bool         // a breach ends the process, with exit code 3, but for a late answer

	mu     sync.Mutex
	counts map[Key]int64
	limit  neterr.LogLimit
}

// Key is what breaches are counted by.
type Key struct {
	Rule Rule
	Path Path
}

// exitCode is that of a process that broke a rule in the laboratory.
const exitCode = 3

// Found takes a breach; id is the call's.
func (r *Recorder) Found(rule Rule, path Path, id, detail string) {
	r.mu.Lock()
	if r.counts == nil {
		r.counts = map[Key]int64{}
	}
	r.counts[Key{rule, path}]++
	r.mu.Unlock()
	if r.Log != nil {
		if suppressed, ok := r.limit.Allow(time.Now()); ok || r.Strict {
			r.Log.Error("rule violated", "rule", string(rule), "path", string(path), "id", id, "detail", detail, "suppressed", suppressed)
		}
	}
	if r.Strict && rule != InTime { // a process that was stopped for a while answers late
		os.Exit(exitCode)
	}
}

// Counts are the breaches so far.
func (r *Recorder) Counts() map[Key]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// Sum is how many there are.
func (r *Recorder) Sum() (n int64) {
	for _, k := range r.Counts() {
		n += k
	}
	return n
}
