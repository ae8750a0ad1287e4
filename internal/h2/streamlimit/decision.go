package streamlimit

// Decision is how a frame or a connection is handled.
type Decision int

// Decisions, in order of severity.
const (
	Allow        Decision = iota
	RefuseStream          // the stream is reset with REFUSED_STREAM: its request was not processed
	GoAway                // the connection accepts no more streams and ends after the open ones
	CloseConn             // the connection is closed immediately
)

// String returns the decision as text.
func (d Decision) String() string { return [...]string{"let", "refuse", "go away", "close"}[d] }

// Reason is why a decision was made, for GOAWAY debug data, logs and counters.
type Reason string

// Reasons of decisions other than Allow.
const (
	TooManyStreams      Reason = "too many streams on the connection"
	TooManyTotalStreams Reason = "too many streams on all connections"
	ResetFlood          Reason = "stream reset rate exceeded"
	OrphanFlood         Reason = "too many requests running for reset streams"
	ControlFlood        Reason = "control frame rate exceeded"
	SlowReader          Reason = "client does not read its responses"
	TooMuchBuffered     Reason = "too many response bytes buffered"
	Idle                Reason = "idle"
	MaxAgeReached       Reason = "old"
	Draining            Reason = "connection is draining"
)

// ConnID identifies a connection.
type ConnID uint64

// StreamID identifies a stream of a connection.
type StreamID uint32

// Action is a decision on a connection that HandleTimer makes.
type Action struct {
	Conn     ConnID
	Decision Decision // GoAway or CloseConn
	Reason   Reason
}
