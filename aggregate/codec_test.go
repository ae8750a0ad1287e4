package aggregate

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// values returns n values that the wire format represents exactly.
func values(n int) (out []float64) {
	for i := range n {
		out = append(out, float64(i)*12.5)
	}
	return out
}

// digestOf300 returns a digest of n values with 299 dispatchers covered and one missing.
func digestOf300(n int) Digest {
	digest := Digest{
		Sums:         values(n),
		MissingSums:  values(n),
		MissingMoved: values(n),
		Covered:      NewNodeSet(300),
		Missing:      NewNodeSet(300),
	}
	for i := range 299 {
		digest.Covered.Add(i)
	}
	digest.Missing.Add(299)
	return digest
}

// TestMessageRoundTrip checks that encoded messages decode to the originals, and that truncated
// texts are rejected or decode to fewer counts and holders.
func TestMessageRoundTrip(t *testing.T) {
	truncated := digestOf300(15)
	truncated.Truncated, truncated.Tick = true, 65535
	for _, m := range []Message{
		{SyncRequest: true, Continued: true},
		{
			Calls: 7,
			Report: Report{
				Incarnation: 200,
				Seq:         255,
				Values:      values(5),
				LastCounted: []float64{0, math.NaN(), 25, math.NaN(), math.NaN()},
			},
			Counts:  []Count{{1, 5, true, false}, {1 << 15, 0, false, true}},
			Holders: []Holder{{1 << 30, 9}},
		},
		{Calls: 1, Report: Report{Values: values(15), Fresh: true}, Marks: []Mark{{7, 15, 0, 255}, {1 << 15, 0, 9, 8}}},
		{FromLeader: true, Digest: truncated},
	} {
		texts := m.Encode(300)
		require.Len(t, texts, 1)
		out, ok := Decode(texts[0], 300)
		require.True(t, ok)
		assert.Equal(t, texts, out.Encode(300))
		if !m.FromLeader {
			assert.Equal(t, fmt.Sprint(m), fmt.Sprint(out))
		} else {
			assert.Equal(t, m.Digest, out.Digest)
		}
		for cut := range len(texts[0]) {
			x, ok := Decode(texts[0][:cut], 300)
			complete := len(x.Counts)+len(x.Holders) == len(m.Counts)+len(m.Holders)
			if ok && !x.Continued && complete && cut < len(texts[0])-1 {
				t.Errorf("text truncated at %d of %d bytes was decoded", cut, len(texts[0]))
			}
		}
	}
}

// TestTextsAreBounded checks that no text exceeds the channel's 256 bytes, even if the longest sums
// and a dozen marks do not fit into one text together, and that a digest of any number of
// dispatchers is encoded without a panic.
func TestTextsAreBounded(t *testing.T) {
	for i := range 20 {
		full := Message{FromLeader: true, Digest: digestOf300(15), Counts: []Count{{Worker: 1, InFlight: 1}}}
		for range i {
			full.Marks = append(full.Marks, Mark{Worker: 7, Failed: 3})
		}
		for _, x := range append(full.Encode(300), full.Truncate(300, 256).Encode(300)...) {
			assert.LessOrEqual(t, len(x), 256)
			_, ok := Decode(x, 300)
			assert.True(t, ok)
		}
		assert.NotPanics(t, func() { full.Encode(5000) })
	}
}

// TestLongDigestsAreSplitAndTruncated checks that counts are split over several texts without loss,
// and that a digest truncated to one text keeps its sums and the counts of silent workers.
func TestLongDigestsAreSplitAndTruncated(t *testing.T) {
	big := Message{FromLeader: true, Digest: digestOf300(7)}
	for i := range 120 {
		big.Counts = append(big.Counts, Count{Worker: uint16(i), InFlight: 3})
	}
	counts := 0
	for _, x := range big.Encode(300) {
		assert.LessOrEqual(t, len(x), 256)
		m, ok := Decode(x, 300)
		require.True(t, ok)
		counts += len(m.Counts)
	}
	assert.Equal(t, 120, counts)
	big.Counts[77] = Count{Worker: 77, Silent: true}
	for _, chars := range []int{220, 253, 10000} {
		short := big.Truncate(300, chars)
		assert.LessOrEqual(t, TotalLen(short.Encode(300)), chars)
		if chars < 10000 {
			assert.Equal(t, big.Counts[77:78], short.Counts, "the worker that is silent for some and responds to none")
			m, ok := Decode(short.Encode(300)[0], 300)
			assert.True(t, ok && m.Digest.Truncated)
		}
	}
	assert.Equal(t, big, big.Truncate(300, 120), "not even the sums fit")
}

// TestValueEncodingPrecision checks that values keep a relative precision of 1 in 4,000, and that
// NaN is encoded as 0.
func TestValueEncodingPrecision(t *testing.T) {
	for _, x := range []float64{0, 0.3, 12.5, 819, 7200, 1e6} {
		assert.InDelta(t, x, decodeValue(encodeValue(x)), 0.01+x/4000)
	}
	assert.Zero(t, encodeValue(math.NaN()))
}

// TestEncodedLenIsTheLengthOfTheTexts checks the predicted length, by which a message is charged to
// the budget before it is encoded.
func TestEncodedLenIsTheLengthOfTheTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.SampledFrom([]int{3, 80, 300, 1_000, 1_900, 6_000}).Draw(t, "dispatchers")
		values := make([]float64, rapid.IntRange(0, maxValues).Draw(t, "values"))
		m := Message{
			FromLeader: rapid.Bool().Draw(t, "from leader"),
			Continued:  rapid.IntRange(0, 3).Draw(t, "continued") == 0,
			Report:     Report{Values: values},
			Marks:      make([]Mark, rapid.IntRange(0, 20).Draw(t, "marks")),
			Counts:     make([]Count, rapid.SampledFrom([]int{0, 1, 61, 62, 63, 700}).Draw(t, "counts")),
			Holders:    make([]Holder, rapid.SampledFrom([]int{0, 1, 30, 31, 32, 200}).Draw(t, "holders")),
		}
		m.Digest = Digest{
			Sums:         values,
			MissingSums:  values,
			MissingMoved: values,
			Covered:      NewNodeSet(dispatchers),
			Missing:      NewNodeSet(dispatchers),
		}
		if rapid.Bool().Draw(t, "quoted") {
			m.Report.LastCounted = values
		}
		for i := range rapid.SampledFrom([]int{0, dispatchers - 1, dispatchers}).Draw(t, "covered") {
			m.Digest.Covered.Add(i)
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "missing") {
			m.Digest.Missing.Add(i)
		}
		assert.Equal(t, TotalLen(m.Encode(dispatchers)), m.EncodedLen(dispatchers))
	})
}

// FuzzDecode checks that any text is either rejected or decodes to a message that an Aggregator can
// handle.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Report: Report{Values: []float64{1, 2}}},
		{FromLeader: true, Digest: Digest{Sums: []float64{1}, Covered: NewNodeSet(9), Missing: NewNodeSet(9)}},
	} {
		f.Add(m.Encode(9)[0], 9)
	}
	f.Add("BAAAAA", 3)
	f.Fuzz(func(t *testing.T, text string, n int) {
		n = max(1, n&1023)
		m, ok := Decode(text, n)
		if !ok {
			return
		}
		a := New(5e9, Settings{Dispatchers: n, Values: 2, Term: term, Tick: term / 16, DecayTime: 64 * term})
		a.HandleReport(5e9, 1, m.Report)
		a.HandleDigest(5e9, 1, m.Digest)
		for _, total := range a.View(6e9, 0).Totals {
			if math.IsNaN(total.Likely) || total.Low < 0 {
				t.Fatal(total)
			}
		}
	})
}
