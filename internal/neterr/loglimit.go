package neterr

import (
	"sync"
	"time"
)

// logInterval is the time between two log lines that a LogLimit allows.
const logInterval = time.Second

// LogLimit allows one log line a second. The zero value is ready for use. It is safe for concurrent
// use.
type LogLimit struct {
	mu         sync.Mutex
	last       time.Time // of the last line allowed
	suppressed int       // lines since then
}

// Allow reports whether a line may be written now, and how many were suppressed since the last one.
func (l *LogLimit) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < logInterval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.last = l.suppressed, 0, now
	return suppressed, true
}
