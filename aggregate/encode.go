package aggregate

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

// The wire format of a text, before base64 without padding; numbers are big-endian:
//
//	byte 0   bits 0-1 version, bits 2-5 number of values, bit 6 marks follow
//	byte 1   flags
//	byte 2   number of counts
//	report   calls, incarnation, sequence: a byte each; values;
//	         with flagLastCounted the set of quoted values, and the quoted values
//	digest   tick: 2 bytes; sums; with flagCovered the set of dispatchers covered;
//	         with flagMissing the sums MissingSums and MissingMoved, and the set Missing
//	marks    number: a byte; for each the worker: 2 bytes, served and failed: 4 bits each,
//	         latency: a byte
//	counts   for each the worker: 2 bytes, flags and calls in flight: a byte
//	holders  up to the end; for each the function: 4 bytes, the worker: 2 bytes
//
// A text with flagContinued has no report, digest or marks.
const (
	// wireVersion changes with the format; a dispatcher drops texts of another version.
	wireVersion = 2
	versionMask = 3
	valuesShift = 2
	marksFollow = 1 << 6

	// maxTextBytes limits a text so that its base64 encoding fits into the 256 bytes that the
	// channel between dispatchers carries.
	maxTextBytes = 190
	// maxValues is the maximum number of values, which has four bits in the header.
	maxValues = 15
	// maxMarks limits the space that marks use in a text.
	maxMarks = 12

	headerBytes    = 3
	markBytes      = 4
	countBytes     = 3
	holderBytes    = 6
	maxMarkCount   = 15  // maximum of each count in a mark (calls or observers)
	maxInFlight    = 63  // maximum calls in flight in a count
	maxCounts      = 255 // maximum number of counts in one text
	maxCalls       = 255 // maximum number of calls in a report
	countResponded = 1 << 6
	countSilent    = 1 << 7
	countInFlight  = maxInFlight
	markCountShift = 4
)

// Flags in byte 1 of a text.
const (
	flagSyncRequest = 1 << iota
	flagFromLeader
	flagContinued
	flagLastCounted // of a report: LastCounted follows
	flagFresh       // of a report
	flagCovered     // of a digest: the set Covered follows, otherwise all dispatchers are covered
	flagMissing     // of a digest: Missing and its sums follow, otherwise none is missing
	flagTruncated   // of a digest
)

// Encode returns the texts of a message in a fleet of the given number of dispatchers.
func (m Message) Encode(dispatchers int) (texts []string) {
	for first := true; first || m.hasMore(); first = false {
		e := encoder{raw: make([]byte, 0, maxTextBytes)}
		counts, holders := e.begin(&m, !first, dispatchers)
		e.appendCounts(m.Counts[:counts])
		e.appendHolders(m.Holders[:holders])
		m.Counts, m.Holders = m.Counts[counts:], m.Holders[holders:]
		texts = append(texts, base64.RawStdEncoding.EncodeToString(e.raw))
	}
	return texts
}

// EncodedLen returns the total length in bytes of the texts that Encode returns, without encoding
// counts and holders.
func (m Message) EncodedLen(dispatchers int) (chars int) {
	e := encoder{raw: make([]byte, 0, maxTextBytes)}
	for first := true; first || m.hasMore(); first = false {
		e.raw = e.raw[:0]
		counts, holders := e.begin(&m, !first, dispatchers)
		chars += base64.RawStdEncoding.EncodedLen(len(e.raw) + countBytes*counts + holderBytes*holders)
		m.Counts, m.Holders = m.Counts[counts:], m.Holders[holders:]
	}
	return chars
}

// hasMore reports whether counts or holders remain to be encoded.
func (m *Message) hasMore() bool { return len(m.Counts)+len(m.Holders) > 0 }

// encoder writes one text.
type encoder struct {
	raw []byte // starts with the header
}

// begin writes a text up to its counts and returns the numbers of counts and holders that fit into
// the rest of it.
func (e *encoder) begin(m *Message, continued bool, dispatchers int) (counts, holders int) {
	e.raw = append(e.raw, wireVersion, 0, 0)
	e.flag(flagSyncRequest, m.SyncRequest)
	e.flag(flagFromLeader, m.FromLeader)
	if !e.flag(flagContinued, continued || m.Continued) {
		if m.FromLeader {
			e.appendDigest(&m.Digest, dispatchers)
		} else {
			e.appendReport(m.Calls, &m.Report)
		}
		e.appendMarks(m.Marks)
	}
	// With several thousand dispatchers the sets alone exceed maxTextBytes; the host drops such
	// texts.
	room := max(0, maxTextBytes-len(e.raw))
	counts = min(len(m.Counts), room/countBytes, maxCounts)
	holders = min(len(m.Holders), (room-countBytes*counts)/holderBytes)
	e.raw[2] = byte(counts)
	return counts, holders
}

// flag sets a flag in the header if on is true, and returns on.
func (e *encoder) flag(flag byte, on bool) bool {
	if on {
		e.raw[1] |= flag
	}
	return on
}

// valueCount writes the number of values into the header and returns the values that fit.
func (e *encoder) valueCount(values []float64) []float64 {
	values = values[:min(len(values), maxValues)]
	e.raw[0] |= byte(len(values) << valuesShift)
	return values
}

// appendReport writes a report; values beyond maxValues are dropped.
func (e *encoder) appendReport(calls int, r *Report) {
	values := e.valueCount(r.Values)
	e.raw = append(e.raw, byte(min(calls, maxCalls)), r.Incarnation, r.Seq)
	e.raw = appendValues(e.raw, values)
	e.flag(flagFresh, r.Fresh)
	if !e.flag(flagLastCounted, r.LastCounted != nil) {
		return
	}
	present, quoted := NewNodeSet(len(values)), make([]float64, 0, maxValues)
	for i, x := range r.LastCounted[:len(values)] {
		if !math.IsNaN(x) {
			present.Add(i)
			quoted = append(quoted, x)
		}
	}
	e.raw = append(e.raw, present...)
	e.raw = appendValues(e.raw, quoted)
}

// appendDigest writes a digest, with its sets only if they differ from the defaults.
func (e *encoder) appendDigest(d *Digest, dispatchers int) {
	sums := e.valueCount(d.Sums)
	e.raw = binary.BigEndian.AppendUint16(e.raw, d.Tick)
	e.raw = appendValues(e.raw, sums)
	e.flag(flagTruncated, d.Truncated)
	if e.flag(flagCovered, d.Covered.Len() < dispatchers) {
		e.raw = append(e.raw, d.Covered...)
	}
	if e.flag(flagMissing, d.Missing.Len() > 0) {
		e.raw = appendValues(e.raw, d.MissingSums[:len(sums)])
		e.raw = appendValues(e.raw, d.MissingMoved[:len(sums)])
		e.raw = append(e.raw, d.Missing...)
	}
}

// appendMarks writes as many marks as fit; the others are dropped.
func (e *encoder) appendMarks(marks []Mark) {
	room := (maxTextBytes - len(e.raw) - 1) / markBytes
	marks = marks[:max(0, min(len(marks), maxMarks, room))]
	if len(marks) == 0 {
		return
	}
	e.raw[0] |= marksFollow
	e.raw = append(e.raw, byte(len(marks)))
	for _, mark := range marks {
		e.raw = binary.BigEndian.AppendUint16(e.raw, mark.Worker)
		counts := min(mark.Served, maxMarkCount)<<markCountShift | min(mark.Failed, maxMarkCount)
		e.raw = append(e.raw, counts, mark.Latency)
	}
}

// appendCounts writes counts, with calls in flight limited to maxInFlight.
func (e *encoder) appendCounts(counts []Count) {
	for _, count := range counts {
		b := byte(min(count.InFlight, maxInFlight))
		if count.Responded {
			b |= countResponded
		}
		if count.Silent {
			b |= countSilent
		}
		e.raw = append(binary.BigEndian.AppendUint16(e.raw, count.Worker), b)
	}
}

// appendHolders writes holders, which extend to the end of the text.
func (e *encoder) appendHolders(holders []Holder) {
	for _, holder := range holders {
		e.raw = binary.BigEndian.AppendUint32(e.raw, holder.Func)
		e.raw = binary.BigEndian.AppendUint16(e.raw, holder.Worker)
	}
}
