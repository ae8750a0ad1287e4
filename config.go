package oakthread

import (
	"log/slog"
	"oakthread/balancer"
	"time"
)

// Config is what a Core is made of. Workers is needed; the rest has a zero value that works.
type Config struct {
	Settings    balancer.Settings
	Seed        uint64
	MaxInFlight int // requests in hand at a time; 0: 4096
	Workers     Workers
	Peers       Peers
	Completed   func(Completion) // called for every request that is over; must return at once
	// Admit is asked once for each request before the module is; false: it is refused at once, with the wait told. It is
	// called in the loop and must return at once. nil: all pass.
	Admit    func(*Request) (wait time.Duration, ok bool)
	Observed func(Observation) // called for every attempt and order that ends; must return at once
	// Violated is told of a rule that was broken and found out only now, by the rule's name in docs/design/invariants.md; nil:
	// nobody is.
	Violated func(rule, path, id, detail string)
	Log      *slog.Logger
}
