// Package violation counts violations of the rules in docs/design/invariants.md that can be noticed
// only afterwards. None is expected, so each is logged with what is known of it, once a second at
// the most; in the test laboratory it ends the process.
package violation

import (
	"log/slog"
	"maps"
	"os"
	"sync"
	"time"

	"oakthread/internal/neterr"
)

// Rule is the id of a rule in docs/design/invariants.md.
type Rule string

// Rules whose violation can be noticed by the process itself.
const (
	RuleAnswered             Rule = "I1" // a request that was accepted gets its answer
	RuleAtMostOnce           Rule = "I4" // a call that must not run twice does not
	RuleRejectionHasNoEffect Rule = "I5" // a rejected call had no effect
	RuleInTime               Rule = "I2" // a call is answered by its deadline, with half a second of tolerance
)

// Path is where a violation was noticed.
type Path string

// Paths that check for violations.
const (
	PathAccept     Path = "take"   // a call was read in full from a connection that had been closed
	PathAnswer     Path = "book"   // a call gets its final answer
	PathAttemptEnd Path = "landed" // an attempt has ended
	PathShutdown   Path = "end"    // the front has shut down
)

// exitCode is that of a process that ends for a violation.
const exitCode = 3

// Key is what violations are counted by.
type Key struct {
	Rule Rule
	Path Path
}

// Recorder counts violations. The zero value counts and logs nothing. It is safe for concurrent
// use.
type Recorder struct {
	Log    *slog.Logger // nil: nothing is logged
	Strict bool         // any violation but a late answer ends the process with exit code 3

	mu     sync.Mutex
	counts map[Key]int64
	limit  neterr.LogLimit
}

// Record records a violation by the call with id requestID, empty where it is none of a call.
func (r *Recorder) Record(rule Rule, path Path, requestID, detail string) {
	r.count(Key{rule, path})
	r.log(rule, path, requestID, detail)
	// A process that was stopped for a while answers late, which is no fault of the program.
	if r.Strict && rule != RuleInTime {
		os.Exit(exitCode)
	}
}

// count adds one violation.
func (r *Recorder) count(key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[Key]int64{}
	}
	r.counts[key]++
}

// log logs a violation, once a second at the most unless it ends the process.
func (r *Recorder) log(rule Rule, path Path, requestID, detail string) {
	if r.Log == nil {
		return
	}
	suppressed, ok := r.limit.Allow(time.Now())
	if !ok && !r.Strict {
		return
	}
	r.Log.Error("rule violated", "rule", string(rule), "path", string(path), "request_id", requestID, "detail", detail,
		"suppressed", suppressed)
}

// Counts returns the number of violations so far by rule and path.
func (r *Recorder) Counts() map[Key]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// Total returns the number of all violations so far.
func (r *Recorder) Total() (n int64) {
	for _, count := range r.Counts() {
		n += count
	}
	return n
}
