// Package violation counts violations of the rules in docs/design/invariants.md that can be
// detected only after the fact. None is expected, so they are logged with their details, at most
// one line per second. In strict mode, which is meant for tests, a violation ends the process.
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

// Rules whose violation the process itself can detect.
const (
	RuleAnswered             Rule = "I1" // an accepted request is answered
	RuleAtMostOnce           Rule = "I4" // a call that must not run twice runs at most once
	RuleRejectionHasNoEffect Rule = "I5" // a rejected call had no effect
	RuleInTime               Rule = "I2" // a call is answered by its deadline, with half a second of tolerance
)

// Path is where a violation was detected.
type Path string

// Paths that check for violations.
const (
	PathAccept     Path = "take"   // a complete call was read from a connection that had been closed
	PathAnswer     Path = "book"   // a call receives its final answer
	PathAttemptEnd Path = "landed" // an attempt has ended
	PathShutdown   Path = "end"    // the server has shut down
)

// exitCode is the exit code of a process that ends because of a violation.
const exitCode = 3

// Key identifies a counter of violations.
type Key struct {
	Rule Rule
	Path Path
}

// Recorder counts violations. The zero value counts but does not log. It is safe for concurrent
// use.
type Recorder struct {
	Log    *slog.Logger // nil: nothing is logged
	Strict bool         // any violation except a late answer ends the process with exit code 3

	mu     sync.Mutex
	counts map[Key]int64
	limit  neterr.LogLimit
}

// Record records a violation. requestID is the id of the call, empty if no call is involved.
func (r *Recorder) Record(rule Rule, path Path, requestID, detail string) {
	r.count(Key{rule, path})
	r.log(rule, path, requestID, detail)
	// A process that was suspended for a while answers late, which is not a bug of the program.
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

// log logs a violation: at most one line per second, but every one in strict mode.
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

// Counts returns a copy of the number of violations so far, by rule and path.
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
