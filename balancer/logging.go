package balancer

import "fmt"

// logBurst is the maximum number of lines logged in a burst: about as many as an operator reads for
// one incident.
const logBurst = 32

// logLimiter limits log lines to a burst of logBurst and then one per interval.
type logLimiter struct {
	at     int64
	tokens float64
}

// allow reports whether a line may be logged now, and counts the line if so. The interval is in
// nanoseconds.
func (l *logLimiter) allow(now, interval int64) bool {
	l.tokens = min(l.tokens+float64(now-l.at)/float64(interval), logBurst)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// logf writes a line to the host's log, or drops it if the limit is reached.
func (b *Balancer) logf(now int64, format string, args ...any) {
	if b.logs.allow(now, b.shortestObjective) {
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
