package endpoints

// Observation is the outcome of an attempt, a health check or a load order, reduced to what it
// shows about the worker.
type Observation int

// The observations of a worker.
const (
	Answered          Observation = iota // it answered in time
	AnsweredLate                         // it answered, but late as judged by the caller
	Overloaded                           // it rejected the request with 503, because it is overloaded or draining
	ReportedDraining                     // it reported that it accepts no new requests
	ConnectionRefused                    // it refused the connection: nothing listens at the address
	TimedOut                             // nothing arrived before the timeout
	ConnectionBroken                     // the connection was reset or the answer was invalid
)

// isResponse reports whether the worker answered the request, in time or late.
func (o Observation) isResponse() bool { return o == Answered || o == AnsweredLate }
