package aggregate

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The wire format of a drain notice must not change, since dispatchers of different builds
// communicate.
func TestDrainNoticeWireFormat(t *testing.T) {
	notice := DrainNotice{Draining: []uint16{1, 65535, 513}}
	assert.Equal(t, []string{"AwAB//8CAQ"}, notice.Encode())
	notice.FromLeader = true
	assert.Equal(t, []string{"BwAB//8CAQ"}, notice.Encode())
	assert.Empty(t, DrainNotice{}.Encode())
	assert.Equal(t, []string{"Dw"}, DrainNotice{FromLeader: true, Watching: true}.Encode())
}

// An encoded notice decodes to the original, its texts fit into a datagram, and Decode does not
// accept them as a Message.
func TestDrainNoticeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		notice := DrainNotice{
			FromLeader: rapid.Bool().Draw(t, "from leader"),
			Watching:   rapid.Bool().Draw(t, "watching"),
			Complete:   rapid.Bool().Draw(t, "complete"),
			Draining:   rapid.SliceOfN(rapid.Uint16(), 0, 300).Draw(t, "draining"),
		}
		var read DrainNotice
		texts := notice.Encode()
		for i, text := range texts {
			part, ok := DecodeDrainNotice(text)
			if !ok || len(text) > 256 || part.FromLeader != notice.FromLeader ||
				part.Watching != notice.Watching || part.Complete != (notice.Complete && i == len(texts)-1) {
				t.Fatalf("text %q of %d bytes: %+v", text, len(text), part)
			}
			if _, isMessage := Decode(text, 20); isMessage {
				t.Fatalf("text %q is decoded as a Message", text)
			}
			read.Draining = append(read.Draining, part.Draining...)
		}
		assert.Equal(t, notice.Draining, append([]uint16{}, read.Draining...))
	})
}

func TestOtherTextsAreNoDrainNotices(t *testing.T) {
	report := Message{Calls: 7, Report: Report{Values: []float64{1}}}.Encode(3)[0]
	for _, text := range []string{"", "A", "AwE", "AwABAg", "IwAB", "not base64", report} {
		_, ok := DecodeDrainNotice(text)
		assert.False(t, ok, text)
	}
}
