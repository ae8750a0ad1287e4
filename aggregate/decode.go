package aggregate

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

// Decode returns the message of one text. ok is false, and the message empty, if the text is
// truncated, has another version of the format, or comes from a fleet of another size.
func Decode(text string, dispatchers int) (m Message, ok bool) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) < headerBytes {
		return Message{}, false
	}
	if raw[0]&versionMask != wireVersion || raw[0] >= 2*marksFollow {
		return Message{}, false
	}
	d := decoder{
		values:      int(raw[0] &^ marksFollow >> valuesShift),
		marked:      raw[0]&marksFollow != 0,
		flags:       raw[1],
		dispatchers: dispatchers,
		rest:        raw[headerBytes:],
	}
	d.head(&m)
	if d.marked {
		m.Marks = d.marks()
	}
	m.Counts = d.counts(int(raw[2]))
	m.Holders = d.holders()
	if d.invalid {
		return Message{}, false
	}
	return m, true
}

// decoder reads one text. Reads past the end return zeros and mark the text as invalid.
type decoder struct {
	values      int // number of values in a report, and in each list of sums of a digest
	marked      bool
	flags       byte
	dispatchers int
	rest        []byte // bytes not read yet
	invalid     bool
}

// head reads the report or the digest.
func (d *decoder) head(m *Message) {
	m.SyncRequest = d.has(flagSyncRequest)
	m.FromLeader = d.has(flagFromLeader)
	m.Continued = d.has(flagContinued)
	switch {
	case m.Continued:
		d.rejectFlags(^byte(flagSyncRequest | flagFromLeader | flagContinued))
		d.invalid = d.invalid || d.values > 0 || d.marked
	case m.FromLeader:
		d.rejectFlags(flagLastCounted | flagFresh)
		m.Digest = d.digest()
	default:
		d.rejectFlags(flagCovered | flagMissing | flagTruncated)
		m.Calls = int(d.byte())
		m.Report = d.report()
	}
}

// has reports whether a flag is set.
func (d *decoder) has(flag byte) bool { return d.flags&flag != 0 }

// rejectFlags marks the text as invalid if any of the flags is set.
func (d *decoder) rejectFlags(flags byte) { d.invalid = d.invalid || d.flags&flags != 0 }

// report reads the part of a report that follows the number of calls.
func (d *decoder) report() Report {
	r := Report{Incarnation: d.byte(), Seq: d.byte(), Values: d.valueList(), Fresh: d.has(flagFresh)}
	if d.has(flagLastCounted) {
		r.LastCounted = d.lastCounted()
	}
	return r
}

// digest reads a digest. Without flagCovered it covers all dispatchers, without flagMissing no
// dispatcher is missing.
func (d *decoder) digest() Digest {
	digest := Digest{
		Truncated: d.has(flagTruncated),
		Tick:      binary.BigEndian.Uint16(d.take(2)),
		Sums:      d.valueList(),
		Covered:   fullSet(d.dispatchers),
	}
	if d.has(flagCovered) {
		digest.Covered = d.nodeSet(d.dispatchers)
	}
	if d.has(flagMissing) {
		digest.MissingSums = d.valueList()
		digest.MissingMoved = d.valueList()
		digest.Missing = d.nodeSet(d.dispatchers)
	} else {
		digest.MissingSums = make([]float64, d.values)
		digest.MissingMoved = make([]float64, d.values)
		digest.Missing = NewNodeSet(d.dispatchers)
	}
	return digest
}

// lastCounted reads the quoted values of a report. Values that are not quoted are NaN.
func (d *decoder) lastCounted() []float64 {
	var values []float64
	present := d.nodeSet(d.values)
	for i := range d.values {
		x := math.NaN()
		if present.Has(i) {
			x = d.value()
		}
		values = append(values, x)
	}
	return values
}

// marks reads the number of marks and the marks.
func (d *decoder) marks() (marks []Mark) {
	for range d.byte() {
		worker := binary.BigEndian.Uint16(d.take(2))
		counts := d.byte()
		marks = append(marks, Mark{
			Worker:  worker,
			Served:  counts >> markCountShift,
			Failed:  counts & maxMarkCount,
			Latency: d.byte(),
		})
	}
	return marks
}

// counts reads n counts.
func (d *decoder) counts(n int) []Count {
	if n == 0 {
		return nil
	}
	counts := make([]Count, 0, n)
	for range n {
		worker := binary.BigEndian.Uint16(d.take(2))
		b := d.byte()
		counts = append(counts, Count{
			Worker:    worker,
			InFlight:  int(b & countInFlight),
			Silent:    b&countSilent != 0,
			Responded: b&countResponded != 0,
		})
	}
	return counts
}

// holders reads holders up to the end of the text.
func (d *decoder) holders() []Holder {
	if len(d.rest)%holderBytes != 0 {
		d.invalid = true
	}
	if d.invalid || len(d.rest) == 0 {
		return nil
	}
	holders := make([]Holder, 0, len(d.rest)/holderBytes)
	for len(d.rest) > 0 {
		holders = append(holders, Holder{
			Func:   binary.BigEndian.Uint32(d.take(4)),
			Worker: binary.BigEndian.Uint16(d.take(2)),
		})
	}
	return holders
}

// take returns the next n bytes. If there are fewer, it returns zeros and marks the text as
// invalid.
func (d *decoder) take(n int) []byte {
	if len(d.rest) < n {
		d.invalid = true
		return make([]byte, n)
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

// byte reads one byte.
func (d *decoder) byte() byte { return d.take(1)[0] }

// value reads one value.
func (d *decoder) value() float64 { return decodeValue(binary.BigEndian.Uint16(d.take(valueBytes))) }

// valueList reads the number of values that the header states.
func (d *decoder) valueList() []float64 {
	values := make([]float64, 0, d.values)
	for range d.values {
		values = append(values, d.value())
	}
	return values
}

// nodeSet reads a set of indices below n. Any other index marks the text as invalid.
func (d *decoder) nodeSet(n int) NodeSet {
	set := NodeSet(d.take(setBytes(n)))
	if set.hasBeyond(n) {
		d.invalid = true
	}
	return set
}
