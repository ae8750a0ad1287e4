package aggregate

import (
	"encoding/base64"
	"flag"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The files in testdata record the wire format of datagrams between dispatchers. Dispatchers of
// different builds communicate during an upgrade, so the files may change only together with the
// version of the format.
var update = flag.Bool("update", false, "write the golden files from the program's output before comparing")

type goldenCase struct {
	name        string
	dispatchers int
	message     Message
	texts       []Message // expected message of each text; nil: one text that decodes to the message itself
}

func setOf(dispatchers int, indices ...int) NodeSet {
	s := NewNodeSet(dispatchers)
	for _, i := range indices {
		s.Add(i)
	}
	return s
}

func generate[T any](n int, item func(i int) T) (out []T) {
	for i := range n {
		out = append(out, item(i))
	}
	return out
}

func goldenCases() []goldenCase {
	const largest = 4095 << 15 / 64.0 // the largest value of the wire format
	nan := math.NaN()
	marks := []Mark{{Worker: 7, Served: 15, Latency: 255}, {Worker: 1 << 15, Failed: 9, Latency: 8}}
	counts := []Count{{1, 5, true, false}, {2, 0, false, true}, {65535, 63, true, true}, {0, 1, false, false}}
	holders := []Holder{{1 << 30, 9}, {math.MaxUint32, 65535}, {0, 0}}
	manyCounts := generate(70, func(i int) Count {
		return Count{Worker: uint16(i * 900), InFlight: i % 64, Responded: i%2 == 0}
	})
	manyHolders := generate(40, func(i int) Holder { return Holder{Func: uint32(i) << 24, Worker: uint16(i)} })
	values := generate(15, func(i int) float64 { return float64(i) * 12.5 })
	quoted := generate(15, func(i int) float64 { return []float64{0, nan, 1.5}[i%3] })
	sums, zeros := []float64{100, 7.5}, []float64{0, 0}
	complete := Digest{
		Tick: 513, Sums: sums, MissingSums: zeros, MissingMoved: zeros,
		Covered: fullSet(3), Missing: NewNodeSet(3),
	}
	truncated := complete
	truncated.Truncated = true
	wide := Digest{
		Tick: 1, Sums: values, MissingSums: values, MissingMoved: values,
		Covered: fullSet(300), Missing: setOf(300, 0),
	}
	wide.Covered[0] = 0xfe
	sample := Report{Incarnation: 200, Seq: 255, Values: []float64{12.5, 0.25}}
	manyMarks := generate(14, func(i int) Mark { return Mark{Worker: uint16(i), Served: 20, Failed: 16, Latency: 1} })
	mostMarks := generate(12, func(i int) Mark { return Mark{Worker: uint16(i), Served: 15, Failed: 15, Latency: 1} })

	return []goldenCase{
		{name: "sync-request", dispatchers: 3, message: Message{SyncRequest: true, Continued: true}},
		{name: "holders", dispatchers: 3, message: Message{Continued: true, Holders: holders}},
		{
			name: "report", dispatchers: 3,
			message: Message{Calls: 7, Report: sample, Marks: marks, Counts: counts, Holders: holders},
		},
		{name: "report-fresh", dispatchers: 3, message: Message{Calls: 1, Report: Report{Values: sums, Fresh: true}}},
		{
			name: "report-prev", dispatchers: 3,
			message: Message{
				Report: Report{
					Seq: 1, Values: []float64{0, 1, 25, 2, 3},
					LastCounted: []float64{0, nan, 50, nan, nan},
				},
				Counts: counts[:1],
			},
		},
		{
			name: "report-in-three-texts", dispatchers: 3,
			message: Message{Calls: 2, Report: sample, Counts: manyCounts, Holders: manyHolders},
			texts: []Message{
				{Calls: 2, Report: sample, Counts: manyCounts[:60]},
				{Continued: true, Counts: manyCounts[60:], Holders: manyHolders[:26]},
				{Continued: true, Holders: manyHolders[26:]},
			},
		},
		{
			name: "digest-complete", dispatchers: 3,
			message: Message{FromLeader: true, Digest: complete, Marks: marks, Counts: counts, Holders: holders},
		},
		{
			name: "digest-missing", dispatchers: 12,
			message: Message{
				FromLeader: true, Counts: counts,
				Digest: Digest{
					Tick: 65535, Sums: sums, MissingSums: []float64{40, 0}, MissingMoved: []float64{8, 0},
					Covered: setOf(12, 0, 3, 11), Missing: setOf(12, 1, 8),
				},
			},
		},
		{
			name: "digest-uncovered", dispatchers: 9,
			message: Message{
				FromLeader: true,
				Digest: Digest{
					Sums: sums, MissingSums: zeros, MissingMoved: zeros,
					Covered: setOf(9, 8), Missing: NewNodeSet(9),
				},
			},
		},
		{
			name: "digest-short", dispatchers: 3,
			message: Message{
				FromLeader: true, Digest: complete, Marks: marks, Counts: counts, Holders: holders,
			}.Truncate(3, 40),
			texts: []Message{{FromLeader: true, Digest: truncated, Marks: marks, Counts: counts[:1]}},
		},
		{
			name: "digest-in-two-texts", dispatchers: 3,
			message: Message{FromLeader: true, Digest: complete, Counts: manyCounts},
			texts: []Message{
				{FromLeader: true, Digest: complete, Counts: manyCounts[:60]},
				{FromLeader: true, Continued: true, Counts: manyCounts[60:]},
			},
		},
		{
			name: "digest-of-300-dispatchers", dispatchers: 300,
			message: Message{FromLeader: true, Digest: wide, Marks: mostMarks},
			texts:   []Message{{FromLeader: true, Digest: wide, Marks: mostMarks[:4]}},
		},
		{
			name: "report-of-15-figures-and-12-marks", dispatchers: 3,
			message: Message{Calls: 255, Report: Report{Values: values, LastCounted: quoted}, Marks: mostMarks},
		},
		{
			name: "report-beyond-bounds", dispatchers: 3,
			message: Message{
				Calls: 300, Marks: manyMarks, Counts: []Count{{Worker: 1, InFlight: 64}},
				Report: Report{Values: append(slices.Clone(values), 1)},
			},
			texts: []Message{{
				Calls: 255, Marks: mostMarks, Counts: []Count{{Worker: 1, InFlight: 63}},
				Report: Report{Values: values},
			}},
		},
		{
			name: "report-of-extreme-figures", dispatchers: 3,
			message: Message{Report: Report{
				Values: []float64{0, -1, nan, 1 / 64., 4095 / 64., 64, largest, 1e9, 0.001},
			}},
			texts: []Message{{Report: Report{
				Values: []float64{0, 0, 0, 1 / 64., 4095 / 64., 64, largest, largest, 0},
			}}},
		},
	}
}

// decoded returns the expected message of each text of a case.
func (c goldenCase) decoded() []Message {
	if c.texts == nil {
		return []Message{c.message}
	}
	return c.texts
}

func (c goldenCase) path() string { return filepath.Join("testdata", c.name+".golden") }

// golden returns the recorded texts of a case. Lines that start with # are comments.
func (c goldenCase) golden(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile(c.path())
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	return slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, "#") })
}

// withoutNaN replaces NaN, which is not equal to itself, by a value that no text can contain.
func withoutNaN(m Message) Message {
	m.Report.LastCounted = slices.Clone(m.Report.LastCounted)
	for i, x := range m.Report.LastCounted {
		if math.IsNaN(x) {
			m.Report.LastCounted[i] = -1
		}
	}
	return m
}

func eachGoldenCase(t *testing.T, run func(t *testing.T, c goldenCase)) {
	for _, c := range goldenCases() {
		t.Run(c.name, func(t *testing.T) { run(t, c) })
	}
}

func TestDatagramsMatchGoldenFiles(t *testing.T) {
	var paths []string
	eachGoldenCase(t, func(t *testing.T, c goldenCase) {
		paths = append(paths, c.path())
		texts := c.message.Encode(c.dispatchers)
		if *update {
			text := "# " + c.name + "\n" + strings.Join(texts, "\n") + "\n"
			require.NoError(t, os.WriteFile(c.path(), []byte(text), 0o644))
		}
		assert.Equal(t, c.golden(t), texts)
	})
	if !t.Failed() {
		files, err := filepath.Glob("testdata/*.golden")
		require.NoError(t, err)
		assert.ElementsMatch(t, paths, files, "golden files and cases must match one to one")
	}
}

func TestGoldenDatagramsDecodeToExpectedValues(t *testing.T) {
	eachGoldenCase(t, func(t *testing.T, c goldenCase) {
		want := c.decoded()
		texts := c.golden(t)
		require.Len(t, texts, len(want))
		for i, text := range texts {
			got, ok := Decode(text, c.dispatchers)
			require.True(t, ok, text)
			assert.Equal(t, withoutNaN(want[i]), withoutNaN(got))
		}
	})
}

func TestGoldenDatagramsAreUnchangedByDecodingAndEncoding(t *testing.T) {
	eachGoldenCase(t, func(t *testing.T, c goldenCase) {
		for _, text := range c.golden(t) {
			m, ok := Decode(text, c.dispatchers)
			require.True(t, ok, text)
			assert.Equal(t, []string{text}, m.Encode(c.dispatchers))
		}
	})
}

// The header has three bytes: version and number of values, flags, and number of counts.
func TestGoldenDatagramsWithChangedHeaderDecodeDifferently(t *testing.T) {
	eachGoldenCase(t, func(t *testing.T, c goldenCase) {
		for i, text := range c.golden(t) {
			raw, err := base64.RawStdEncoding.DecodeString(text)
			require.NoError(t, err)
			want := withoutNaN(c.decoded()[i])
			differs := func(changed []byte, how string, at int) {
				m, ok := Decode(base64.RawStdEncoding.EncodeToString(changed), c.dispatchers)
				if ok && assert.ObjectsAreEqual(want, withoutNaN(m)) {
					t.Errorf("text %d decodes to the same message with header byte %d %s", i, at, how)
				}
			}
			for at := range 3 {
				for change := 1; change < 256; change++ {
					changed := slices.Clone(raw)
					changed[at] ^= byte(change)
					differs(changed, "changed", at)
				}
				differs(slices.Delete(slices.Clone(raw), at, at+1), "removed", at)
				differs(raw[:at], "and everything after it removed", at)
			}
		}
	})
}
