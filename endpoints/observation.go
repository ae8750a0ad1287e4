package endpoints

// Observation is what the result of an attempt, a health check or a load order shows about a
// worker.
type Observation int

// The observations of a worker.
const (
	Answered          Observation = iota // it answered within the latency objective
	AnsweredLate                         // it answered late
	Overloaded                           // it rejected the request with 503: it is full, or it drains
	ReportedDraining                     // it reported that it accepts no new work
	ConnectionRefused                    // it refused the connection: nothing listens at the address
	TimedOut                             // nothing arrived before the timeout
	ConnectionBroken                     // the connection was reset or the answer invalid
)

// isResponse reports whether the worker answered the request, in time or late.
func (o Observation) isResponse() bool { return o == Answered || o == AnsweredLate }
