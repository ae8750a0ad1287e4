package aggregate

import "encoding/base64"

// Message is what one dispatcher sends to another, a report, or the leader to all, a digest. It is
// encoded into one or several texts of at most 256 bytes; texts after the first have Continued set
// and hold counts and holders only.
type Message struct {
	SyncRequest bool // asks the receiver for all that it knows of holders
	Continued   bool // holds neither Report nor Digest
	FromLeader  bool // Digest is set, else Report
	Calls       int  // of a report: calls received since the last one, 0 to 255 on the wire
	Report      Report
	Digest      Digest
	Marks       []Mark // 12 at the most on the wire
	Counts      []Count
	Holders     []Holder
}

// Mark is what a dispatcher, or the observers of a digest, report of one worker. The meaning of the
// counts is defined by outlier.Mark in a report and by outlier.Evidence in a digest.
type Mark struct {
	Worker  uint16 // tag of the worker
	Served  uint8  // calls served, or observers that were; 0 to 15
	Failed  uint8  // calls failed, or observers whose calls did; 0 to 15
	Latency uint8  // latency in quarters of the mean; 0: not slow
}

// Count is the load of one worker, from one dispatcher in a report and from all in a digest.
type Count struct {
	Worker    uint16 // tag of the worker
	InFlight  int    // calls in flight, 0 to 63 on the wire
	Silent    bool   // a call is overdue and the worker has not responded since it was sent
	Responded bool   // the worker has responded lately
}

// Holder is a worker that has begun to hold a function.
type Holder struct {
	Func   uint32 // tag of the function
	Worker uint16 // tag of the worker
}

// TotalLen returns the length of all texts together, in bytes.
func TotalLen(texts []string) (n int) {
	for _, text := range texts {
		n += len(text)
	}
	return n
}

// Truncate returns a digest that fits into one text of at most maxChars bytes: it keeps the sums,
// and of the counts as many as fit of workers that are silent for some dispatchers and respond to
// none. It returns the message unchanged where that fits already, where not even the sums fit, or
// where it is no digest.
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
