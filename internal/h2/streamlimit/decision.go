package streamlimit

// Decision is what becomes of a frame or a connection.
type Decision int

// Decisions, in the order of their severity.
const (
	Allow        Decision = iota
	RefuseStream          // the stream is reset with REFUSED_STREAM: it was not processed
	GoAway                // the connection takes no more streams and ends once those open have
	CloseConn             // the connection ends now
)

// String returns the decision in words.
func (d Decision) String() string { return [...]string{"let", "refuse", "go away", "close"}[d] }

// Reason says why a decision was made, for GOAWAY's debug data, logs and counters.
type Reason string

// Reasons of decisions other than Allow.
const (
	TooManyStreams      Reason = "too many streams open"
	TooManyTotalStreams Reason = "all places for streams are taken"
	ResetFlood          Reason = "too many resets"
	OrphanFlood         Reason = "too much work left behind by resets"
	ControlFlood        Reason = "too many control frames"
	SlowReader          Reason = "the reader moves nothing"
	TooMuchBuffered     Reason = "answers that wait for readers take too much memory"
	Idle                Reason = "idle"
	MaxAgeReached       Reason = "old"
	Draining            Reason = "asked to go away"
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
