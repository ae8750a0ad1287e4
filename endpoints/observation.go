package endpoints

// Observation is what the result of an attempt, a health check or a load order shows about a
// worker.
type Observation int

// The observations of a worker.
const (
	Answered Observation = iota // it answered within the latency objective
	Slow                        // it answered late
	Busy                        // it rejected the request with 503: it is full, or it drains
	Drains                      // it reported that it accepts no new work
	Refused                     // it refused the connection: nothing listens at the address
	Silent                      // nothing arrived before the timeout
	Broken                      // the connection was reset or the answer invalid: something listens at the address
)

// isResponse reports whether the worker answered the request, in time or late.
func (o Observation) isResponse() bool { return o == Answered || o == Slow }
