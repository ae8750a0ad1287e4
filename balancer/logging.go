package balancer

import "fmt"

// logBurst is how many lines may be logged at once: as many as an operator reads of one incident.
const logBurst = 32

// logLimiter bounds the log lines to a burst and one more in each interval.
type logLimiter struct {
	at     int64
	tokens float64
}

// allow reports whether a line may be logged now, and counts it. The interval is in nanoseconds.
func (l *logLimiter) allow(now, interval int64) bool {
	l.tokens = min(l.tokens+float64(now-l.at)/float64(interval), logBurst)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// logf writes a line to the host's log, within the limit.
func (b *Balancer) logf(now int64, format string, args ...any) {
	if b.logs.allow(now, b.shortestObjective) {
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
