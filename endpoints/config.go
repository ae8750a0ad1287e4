package endpoints

import "time"

const (
	// defaultHealthCheckRate is the number of health checks per second that all dispatchers
	// together send to one worker.
	defaultHealthCheckRate = 300

	// defaultMaxWait bounds the Retry-After of a request that slow start rejects.
	defaultMaxWait = time.Second
)

// Config configures a List. The zero value uses the defaults.
type Config struct {
	Seed                uint64        // of the list's random numbers
	Dispatchers         int           // dispatchers that may restart together, with this one; below 1: 1
	MaxRetryAfter       time.Duration // longest Retry-After of a request that slow start rejects; 0: 1 s
	InitialLoadFraction float64       // part of its former load that a worker gets first; 0: 0.36
	HealthCheckRate     float64       // checks per second of one worker by all dispatchers; 0: 300

	// TrustCached makes cached endpoints count as verified at once and disables health checks. It is the
	// baseline of experiments.
	TrustCached bool
}

// withDefaults returns the configuration with every unset field replaced by its default.
func (c Config) withDefaults() Config {
	c.Dispatchers = max(1, c.Dispatchers)
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = defaultMaxWait
	}
	if c.HealthCheckRate <= 0 {
		c.HealthCheckRate = defaultHealthCheckRate
	}
	if c.InitialLoadFraction <= 0 {
		c.InitialLoadFraction = defaultInitialLoadFraction
	}
	return c
}
