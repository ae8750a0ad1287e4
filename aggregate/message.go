package aggregate

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

// Message is what one dispatcher writes to another, or the hub to all. It is packed into texts of at most 256 bytes; those
// after the first say that they go on, and hold counts and pairs alone.
type Message struct {
	SyncRequest bool // asks for all beliefs
	Continued   bool
	FromLeader  bool // a digest: Sum counts, else Row
	Calls       int  // of a report: taken since the last one
	Report      Report
	Digest      Digest
	Marks       []Mark // at most marksMax
	Counts      []Count
	Holders     []Holder
}

// Mark is what a dispatcher, or the observers of a digest, have to say of one worker: calls or observers, good and bad, 15
// at the most, and a pace. What it means is package verdict's.
type Mark struct {
	Worker    uint16
	Good, Bad uint8
	Pace      uint8
}

// Count is what a dispatcher, or all, have at one worker: calls in flight, 63 at the most told.
type Count struct {
	Worker        uint16
	N             int
	Silent, Heard bool
}

// Holder is a new holder: function and worker by their tags.
type Holder struct {
	Func   uint32
	Worker uint16
}

const (
	maxTextBytes = 190 // bytes of a part, so that base64 keeps it under the 256 of the wire
	version      = 2   // in the two low bits of the first byte; an older version drops what it cannot read
	maxValues    = 15

	maxMarks    = 12
	marksFollow = 1 << 6 // in the first byte, over version and figures: a byte with their number follows the row or digest
)

// flags of a part.
const (
	flagSyncRequest = 1 << iota
	flagFromLeader
	flagContinued
	flagLastCounted // of a row: Prev follows, a bit for each figure that it has and then these
	flagFresh       // of a row
	flagCovered     // of a digest: Covered follows, else all are
	flagMissing     // of a digest: Gone, Moved and Missing follow
	flagTruncated   // of a digest
)

// Chars is the length of all texts together.
func Chars(texts []string) (n int) {
	for _, x := range texts {
		n += len(x)
	}
	return n
}

// EncodedLen is what Chars would say of the texts of a message, without writing them.
func (m Message) EncodedLen(siblings int) (chars int) {
	room := make([]byte, 0, maxTextBytes)
	for first := true; first || len(m.Counts)+len(m.Holders) > 0; first = false {
		raw, n, k := m.start(room, !first, siblings)
		chars += base64.RawStdEncoding.EncodedLen(len(raw) + 3*n + 6*k)
		m.Counts, m.Holders = m.Counts[n:], m.Holders[k:]
	}
	return chars
}

// Truncate is a digest cut to one text of so many characters at the most: its sums, and of the workers as many as there is room
// for that some found silent and none heard. A digest that fits is as it was; one whose sums do not fit is left whole.
func (m Message) Truncate(siblings, chars int) Message {
	if !m.FromLeader || m.EncodedLen(siblings) <= chars {
		return m
	}
	short := m
	short.Counts, short.Holders, short.Digest.Truncated = nil, nil, true
	room := base64.RawStdEncoding.DecodedLen(min(chars, base64.RawStdEncoding.EncodedLen(maxTextBytes)))
	if room -= base64.RawStdEncoding.DecodedLen(len(short.Encode(siblings)[0])); room < 0 {
		return m
	}
	for _, c := range m.Counts {
		if c.Silent && !c.Heard && len(short.Counts) < room/3 {
			short.Counts = append(short.Counts, c)
		}
	}
	return short
}

// Encode packs a message. siblings: of how many dispatchers the sets are.
func (m Message) Encode(siblings int) (texts []string) {
	for first := true; first || len(m.Counts)+len(m.Holders) > 0; first = false {
		raw, n, k := m.start(make([]byte, 0, maxTextBytes), !first, siblings)
		for _, c := range m.Counts[:n] {
			b := byte(min(c.N, 63))
			if c.Heard {
				b |= 64
			}
			if c.Silent {
				b |= 128
			}
			raw = append(binary.BigEndian.AppendUint16(raw, c.Worker), b)
		}
		for _, p := range m.Holders[:k] {
			raw = binary.BigEndian.AppendUint32(raw, p.Func)
			raw = binary.BigEndian.AppendUint16(raw, p.Worker)
		}
		m.Counts, m.Holders = m.Counts[n:], m.Holders[k:]
		texts = append(texts, base64.RawStdEncoding.EncodeToString(raw))
	}
	return texts
}

// start writes a text up to its counts into room, and tells how many counts and pairs follow. goesOn: it is not the first.
func (m Message) start(room []byte, goesOn bool, siblings int) (raw []byte, counts, pairs int) {
	raw, flags := append(room, version, 0, 0), byte(0)
	set := func(flag byte, on bool) bool {
		if on {
			flags |= flag
		}
		return on
	}
	set(flagSyncRequest, m.SyncRequest)
	set(flagFromLeader, m.FromLeader)
	if !set(flagContinued, goesOn || m.Continued) {
		raw = m.first(raw, set, siblings)
		if marks := m.Marks[:max(0, min(len(m.Marks), maxMarks, (maxTextBytes-len(raw)-1)/4))]; len(marks) > 0 {
			raw[0] |= marksFollow
			raw = append(raw, byte(len(marks)))
			for _, x := range marks {
				raw = append(binary.BigEndian.AppendUint16(raw, x.Worker), min(x.Good, 15)<<4|min(x.Bad, 15), x.Pace)
			}
		}
	}
	left := max(0, maxTextBytes-len(raw)) // of some thousand dispatchers the sets alone are too long: the host drops such a text
	counts = min(len(m.Counts), left/3, 255)
	pairs = min(len(m.Holders), (left-3*counts)/6)
	raw[1], raw[2] = flags, byte(counts)
	return raw, counts, pairs
}

// first writes the row or the digest.
func (m Message) first(raw []byte, set func(byte, bool) bool, siblings int) []byte {
	if !m.FromLeader {
		figs := m.Report.Values[:min(len(m.Report.Values), maxValues)]
		raw[0] |= byte(len(figs) << 2)
		raw = append(raw, byte(min(m.Calls, 255)), m.Report.Incarnation, m.Report.Seq)
		raw = appendValues(raw, figs)
		set(flagFresh, m.Report.Fresh)
		if set(flagLastCounted, m.Report.LastCounted != nil) {
			has, prev := NewSet(len(figs)), make([]float64, 0, maxValues)
			for i, x := range m.Report.LastCounted[:len(figs)] {
				if !math.IsNaN(x) {
					has.Add(i)
					prev = append(prev, x)
				}
			}
			raw = appendValues(append(raw, has...), prev)
		}
		return raw
	}
	figs := m.Digest.Sums[:min(len(m.Digest.Sums), maxValues)]
	raw[0] |= byte(len(figs) << 2)
	raw = binary.BigEndian.AppendUint16(raw, m.Digest.Tick)
	raw = appendValues(raw, figs)
	set(flagTruncated, m.Digest.Truncated)
	if set(flagCovered, m.Digest.Covered.Len() < siblings) {
		raw = append(raw, m.Digest.Covered...)
	}
	if set(flagMissing, m.Digest.Missing.Len() > 0) {
		raw = appendValues(raw, m.Digest.MissingSums[:len(figs)])
		raw = appendValues(raw, m.Digest.MissingMoved[:len(figs)])
		raw = append(raw, m.Digest.Missing...)
	}
	return raw
}

// Decode unpacks a text; false: it is cut, of another version or of another size of fleet, and says nothing.
func Decode(text string, siblings int) (m Message, ok bool) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) < 3 || raw[0]&3 != version || raw[0] >= 2*marksFollow {
		return m, false
	}
	marked := raw[0]&marksFollow != 0
	figs, flags, n := int(raw[0]&^marksFollow>>2), raw[1], int(raw[2])
	m.SyncRequest, m.FromLeader, m.Continued = flags&flagSyncRequest != 0, flags&flagFromLeader != 0, flags&flagContinued != 0
	raw = raw[3:]
	cut := false
	take := func(n int) []byte {
		if len(raw) < n {
			cut = true
			return make([]byte, n)
		}
		b := raw[:n]
		raw = raw[n:]
		return b
	}
	figures := func() []float64 {
		out := make([]float64, 0, figs)
		for b := take(2 * figs); len(b) > 0; b = b[2:] {
			out = append(out, decodeValue(binary.BigEndian.Uint16(b)))
		}
		return out
	}
	quoted := func() (out []float64) {
		has := NodeSet(take((figs + 7) / 8))
		if hasBeyond(has, figs) {
			cut = true
		}
		for i := range figs {
			x := math.NaN()
			if has.Has(i) {
				x = decodeValue(binary.BigEndian.Uint16(take(2)))
			}
			out = append(out, x)
		}
		return out
	}
	sets := (siblings + 7) / 8
	switch {
	case m.Continued:
		if figs > 0 || marked || flags&^(flagSyncRequest|flagFromLeader|flagContinued) != 0 {
			return m, false
		}
	case m.FromLeader:
		m.Digest.Truncated = flags&flagTruncated != 0
		m.Digest.Tick = binary.BigEndian.Uint16(take(2))
		m.Digest.Sums = figures()
		if flags&flagCovered != 0 {
			m.Digest.Covered = NodeSet(take(sets))
		} else {
			m.Digest.Covered = fullSet(siblings)
		}
		if flags&flagMissing != 0 {
			m.Digest.MissingSums, m.Digest.MissingMoved, m.Digest.Missing = figures(), figures(), NodeSet(take(sets))
		} else {
			m.Digest.MissingSums, m.Digest.MissingMoved, m.Digest.Missing = make([]float64, figs), make([]float64, figs), NewSet(siblings)
		}
		if flags&(flagLastCounted|flagFresh) != 0 || hasBeyond(m.Digest.Covered, siblings) || hasBeyond(m.Digest.Missing, siblings) {
			return m, false
		}
	default:
		b := take(3)
		m.Calls = int(b[0])
		m.Report = Report{Incarnation: b[1], Seq: b[2], Values: figures(), Fresh: flags&flagFresh != 0}
		if flags&flagLastCounted != 0 {
			m.Report.LastCounted = quoted()
		}
		if flags&(flagCovered|flagMissing|flagTruncated) != 0 {
			return m, false
		}
	}
	if marked {
		for b := take(4 * int(take(1)[0])); len(b) > 0; b = b[4:] {
			m.Marks = append(m.Marks, Mark{binary.BigEndian.Uint16(b), b[2] >> 4, b[2] & 15, b[3]})
		}
	}
	if n > 0 {
		m.Counts = make([]Count, 0, n)
	}
	for b := take(3 * n); len(b) > 0; b = b[3:] {
		m.Counts = append(m.Counts, Count{binary.BigEndian.Uint16(b), int(b[2] & 63), b[2]&128 != 0, b[2]&64 != 0})
	}
	if cut || len(raw)%6 != 0 {
		return Message{}, false
	}
	if len(raw) > 0 {
		m.Holders = make([]Holder, 0, len(raw)/6)
	}
	for ; len(raw) > 0; raw = raw[6:] {
		m.Holders = append(m.Holders, Holder{binary.BigEndian.Uint32(raw), binary.BigEndian.Uint16(raw[4:])})
	}
	return m, true
}

func hasBeyond(s NodeSet, n int) bool {
	for i := n; i < 8*len(s); i++ {
		if s.Has(i) {
			return true
		}
	}
	return false
}

// Figures are told in sixteen bits: twelve of a number and four of a power of two, in 64ths; 2 million at the most, and
// within 1 in 4,000.
func appendValues(raw []byte, xs []float64) []byte {
	for _, x := range xs {
		raw = binary.BigEndian.AppendUint16(raw, encodeValue(x))
	}
	return raw
}

func encodeValue(x float64) uint16 {
	if !(x > 0) {
		return 0
	}
	e := uint16(0)
	for x *= 64; x >= 4095.5 && e < 15; e++ {
		x /= 2
	}
	return e<<12 | uint16(math.Min(math.Round(x), 4095))
}

func decodeValue(v uint16) float64 { return float64(v&0xfff) * float64(uint32(1)<<(v>>12)) / 64 }
