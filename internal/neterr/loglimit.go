package neterr

import (
	"sync"
	"time"
)

// logInterval is the minimum time between two log lines that a LogLimit allows.
const logInterval = time.Second

// LogLimit allows one log line per second. The zero value is ready for use. It is safe for
// concurrent use.
type LogLimit struct {
	mu         sync.Mutex
	last       time.Time // time of the last line allowed
	suppressed int       // lines suppressed since then
}

// Allow reports whether a line may be written now and, if so, how many were suppressed since the
// last one.
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
