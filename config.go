package oakthread

import (
	"errors"
	"log/slog"
	"oakthread/balancer"
	"time"
)

// Config holds the parts that a Core is built from. Workers is required; the other fields have
// usable zero values.
type Config struct {
	Settings balancer.Settings
	// Seed starts the random numbers of the balancer, so that its choices can be repeated.
	Seed uint64
	// MaxInFlight limits the requests in flight; requests beyond it are rejected. Zero means 4096.
	MaxInFlight int
	// Workers carries attempts, health checks and load orders.
	Workers Workers
	// Peers carries messages between dispatchers; nil means that there are no others.
	Peers Peers
	// Admit is called once for each request, before the balancer sees it. If it returns false, the
	// request is rejected with the returned wait as its Retry-After. It runs in the event loop and
	// must not block. Nil admits every request.
	Admit func(*Request) (wait time.Duration, ok bool)
	// Completed is called for every request that has its final answer. It runs in the event loop
	// and must not block.
	Completed func(Completion)
	// Observed is called for every attempt and load order that ends. It runs in the event loop and
	// must not block.
	Observed func(Observation)
	// Violated is called when an invariant of docs/design/invariants.md turns out to have been
	// broken. It receives the id of the rule, the place of the detection and the id of the request.
	Violated func(rule, path, id, detail string)
	// Log receives the log lines of the core; nil discards them.
	Log *slog.Logger
}

const (
	// defaultMaxInFlight is the value of a MaxInFlight of zero.
	defaultMaxInFlight = 4096
	// eventQueueSize is the number of events that wait for the event loop before a sender blocks.
	// It covers a burst of results that arrive during one slow event, such as an endpoint snapshot.
	eventQueueSize = 1024
)

// withDefaults returns the configuration with its zero values replaced, or an error if a required
// field is missing.
func (c Config) withDefaults() (Config, error) {
	if c.Workers == nil {
		return c, errors.New("oakthread: Config.Workers is nil")
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}

// isNonIdempotent reports whether a request of the class must not run twice. Classes added by
// AddClasses are not known here and count as idempotent.
func (c Config) isNonIdempotent(class int) bool {
	classes := c.Settings.Classes
	return class < len(classes) && classes[class].Idempotency == balancer.NotIdempotent
}
