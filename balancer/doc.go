// Package balancer chooses a worker for each call of a function platform. It implements
// Load/Affinity with a slack, after Bunt et al. (PAPER 4.2), extended for workers that fail. A
// Balancer is a single-threaded state machine without clock, goroutines, I/O or global variables.
// Events are passed to its Handle methods; it acts through Host. All times are nanoseconds of the
// host's clock.
package balancer
