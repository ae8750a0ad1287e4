// Package ingress decides how much of a dispatcher's memory and processor time its clients may take:
// how large a request head may be, how many bytes unfinished and unanswered requests may hold
// together, and how soon a connection gets its next request. The package has no clock, goroutine or
// I/O.
package ingress

// Refusal is the reason why a request is refused before it is complete, or Accepted, the zero value.
type Refusal int

// Reasons for which a request is refused.
const (
	Accepted          Refusal = iota
	TooManyFields             // its head has more than MaxHeadFields fields
	MemoryExhausted           // the requests of all clients hold too much, and it is the slowest of them
	TooMuchPipelined          // more bytes have arrived after it than its connection may hold
	AnswersNotRead            // its client does not read the answers to earlier requests
	refusalReasonsEnd         // number of reasons
)

// RefusalReasons is the number of values of Refusal.
const RefusalReasons = int(refusalReasonsEnd)

// String returns the text of the reason in logs.
func (r Refusal) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case TooManyFields:
		return "too many header fields"
	case MemoryExhausted:
		return "request memory exhausted"
	case TooMuchPipelined:
		return "too much pipelined"
	case AnswersNotRead:
		return "answers not read"
	case refusalReasonsEnd:
	}
	return "unknown"
}

// MaxHeadFields is the number of header fields that a request may have. A parsed field takes far
// more memory than its bytes.
const MaxHeadFields = 100

// CheckHead decides whether a request whose head has the given number of fields so far is read on.
func CheckHead(fields int) Refusal {
	if fields > MaxHeadFields {
		return TooManyFields
	}
	return Accepted
}
