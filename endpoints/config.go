package endpoints

import "time"

const (
	// defaultHealthCheckRate is the number of health checks per second that all dispatchers
	// together may send to one worker.
	defaultHealthCheckRate = 300

	// defaultMaxRetryAfter is the longest Retry-After of a request that slow start rejects.
	defaultMaxRetryAfter = time.Second
)

// Config configures a List. The zero value uses the defaults.
type Config struct {
	Seed                uint64        // of the list's random number generator
	Dispatchers         int           // that may restart at the same time, including this one; below 1: 1
	MaxRetryAfter       time.Duration // longest Retry-After of a request that slow start rejects; 0: 1 s
	InitialLoadFraction float64       // of its former load that a worker gets at its first success; 0: 0.36
	HealthCheckRate     float64       // checks per second of one worker by all dispatchers together; 0: 300

	// TrustCached makes cached endpoints count as verified immediately and disables health checks.
	// It serves as the baseline in experiments.
	TrustCached bool
}

// withDefaults returns the configuration with every unset or negative field set to its default.
func (c Config) withDefaults() Config {
	c.Dispatchers = max(1, c.Dispatchers)
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	if c.HealthCheckRate <= 0 {
		c.HealthCheckRate = defaultHealthCheckRate
	}
	if c.InitialLoadFraction <= 0 {
		c.InitialLoadFraction = defaultInitialLoadFraction
	}
	return c
}
