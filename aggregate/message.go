package aggregate

import "encoding/base64"

// Message is a report from one dispatcher to another or a digest from the leader to all. It is
// encoded into one or more texts, base64 strings of at most 256 bytes. Texts after the first have
// Continued set and contain only counts and holders.
type Message struct {
	SyncRequest bool // requests all holders that the receiver knows
	Continued   bool // contains neither Report nor Digest
	FromLeader  bool // Digest is set, otherwise Report
	Calls       int  // in a report: calls received since the last report, 0 to 255 on the wire
	Report      Report
	Digest      Digest
	Marks       []Mark // at most 12 on the wire
	Counts      []Count
	Holders     []Holder
}

// Mark is the report about one worker from one dispatcher, or in a digest from all observers. The
// meaning of the counts is defined by outlier.Mark in a report and by outlier.Evidence in a digest.
type Mark struct {
	Worker  uint16 // tag of the worker
	Served  uint8  // calls served, or observers whose calls were served; 0 to 15
	Failed  uint8  // calls failed, or observers whose calls failed; 0 to 15
	Latency uint8  // latency in quarters of the mean; 0: not slow
}

// Count is the load on one worker, caused by one dispatcher in a report and by all in a digest.
type Count struct {
	Worker    uint16 // tag of the worker
	InFlight  int    // calls in flight, 0 to 63 on the wire
	Silent    bool   // a call is overdue, and the worker has not responded since it was sent
	Responded bool   // the worker has responded recently
}

// Holder is a worker that has recently loaded a function.
type Holder struct {
	Func   uint32 // tag of the function
	Worker uint16 // tag of the worker
}

// TotalLen returns the total length of texts in bytes.
func TotalLen(texts []string) (n int) {
	for _, text := range texts {
		n += len(text)
	}
	return n
}

// Truncate returns a digest that fits into one text of at most maxChars bytes. It keeps the sums
// and, as far as they fit, the counts of workers that are silent for some dispatchers and respond
// to none. It returns the message unchanged if it already fits, if not even the sums fit, or if it
// is not a digest.
func (m Message) Truncate(dispatchers, maxChars int) Message {
	if !m.FromLeader || m.EncodedLen(dispatchers) <= maxChars {
		return m
	}
	short := m
	short.Counts, short.Holders, short.Digest.Truncated = nil, nil, true
	maxBytes := base64.RawStdEncoding.DecodedLen(min(maxChars, base64.RawStdEncoding.EncodedLen(maxTextBytes)))
	room := maxBytes - base64.RawStdEncoding.DecodedLen(len(short.Encode(dispatchers)[0]))
	if room < 0 {
		return m
	}
	for _, count := range m.Counts {
		if count.Silent && !count.Responded && len(short.Counts) < room/countBytes {
			short.Counts = append(short.Counts, count)
		}
	}
	return short
}
