// Package balancer chooses a worker for each call of a function platform: Load/Affinity with a
// slack, after Bunt et al. (PAPER 4.2), and what that rule needs where workers fail. A Balancer is
// one single-threaded state machine: it has no clock, no goroutine, no I/O and no globals. Events
// are its Handle methods; its actions go through Host. All times are nanoseconds of the host's
// clock.
package balancer
