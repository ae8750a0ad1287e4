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
	Seed      uint64        // of the list's random numbers
	Siblings  int           // dispatchers that may restart together, this one included; below 1: 1
	MaxWait   time.Duration // longest Retry-After of a request that slow start rejects; 0: 1 s
	Budget    float64       // part of its former load that a worker which may be cold can take; 0: 0.36
	ProbeRate float64       // health checks per second that all dispatchers together send to one worker; 0: 300

	// Fresh makes cached endpoints count as verified at once and disables health checks. It is the
	// baseline of experiments.
	Fresh bool
}

// withDefaults returns the configuration with every unset field replaced by its default.
func (c Config) withDefaults() Config {
	c.Siblings = max(1, c.Siblings)
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.ProbeRate <= 0 {
		c.ProbeRate = defaultHealthCheckRate
	}
	if c.Budget <= 0 {
		c.Budget = defaultInitialLoadFraction
	}
	return c
}
