package oakthread

import (
	"errors"
	"log/slog"
	"time"

	"oakthread/balancer"
	"oakthread/internal/claims"
)

// Config holds the settings and dependencies of a Core. Workers is required; the other fields have
// usable zero values.
type Config struct {
	Settings balancer.Settings
	// Seed seeds the random number generator of the balancer, so that its choices are reproducible.
	Seed uint64
	// MaxInFlight is the maximum number of requests in flight; further requests are rejected. Zero
	// means 4096.
	MaxInFlight int
	// Workers sends attempts, health checks and load orders to workers.
	Workers Workers
	// Peers exchanges messages with other dispatchers; nil means that there are none.
	Peers Peers
	// Claims records which requests of classes that must not run twice may have run; nil stands for a
	// table of this Core alone. Processes that share the requests of their clients share the table.
	Claims Claims
	// Admit is called once for each request, before it is passed to the balancer. If ok is false,
	// the request is rejected with wait as its Retry-After. It runs in the event loop and must not
	// block. Nil admits every request.
	Admit func(*Request) (wait time.Duration, ok bool)
	// Completed is called once for each accepted request when it has its final answer or is
	// abandoned, but not for requests that Close ends. It runs in the event loop and must not
	// block.
	Completed func(Completion)
	// Observed is called at the end of each attempt and load order that was passed to Workers,
	// except for load orders that timed out. It runs in the event loop and must not block.
	Observed func(Observation)
	// Violated is called when a violation of an invariant in docs/design/invariants.md is detected.
	// It receives the ID of the rule, the code path that detected the violation, the ID of the
	// request and a description. It runs in the event loop and must not block.
	Violated func(rule, path, id, detail string)
	// Log receives the log messages of the Core; nil discards them.
	Log *slog.Logger
}

// Claims is a set of the IDs of requests that may have run. Its methods are safe for concurrent use.
type Claims interface {
	// Claim adds an ID. It returns false if the ID is in the set already, or if that is not known. It
	// may block for some milliseconds.
	Claim(id string) bool
	// IsClaimed reports whether an ID is in the set. It does not block.
	IsClaimed(id string) bool
}

const (
	// defaultMaxInFlight replaces a Config.MaxInFlight of zero.
	defaultMaxInFlight = 4096
	// eventQueueSize is the number of events that can be queued for the event loop before post
	// blocks.
	eventQueueSize = 1024
)

// withDefaults returns the configuration with zero values replaced by defaults, or an error if a
// required field is missing.
func (c Config) withDefaults() (Config, error) {
	if c.Workers == nil {
		return c, errors.New("oakthread: Config.Workers is nil")
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.Claims == nil {
		c.Claims = claims.New()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}
