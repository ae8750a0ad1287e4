package wire

import "testing"

// Decode accepts known and unknown events, and rejects malformed lines.
func TestDecodeRejectsMalformedLines(t *testing.T) {
	for line, valid := range map[string]bool{
		`{"bell":{"who":"dispatcher_1","ref":4}}`: true,
		`{"new_event":{"x":1}}`:                   true,
		`{"bell":{"who":3}}`:                      false,
		`{"bell":{"who":"a"}`:                     false,
		`bell`:                                    false,
		`{"odd":{]}`:                              false,
	} {
		if _, err := Decode([]byte(line)); (err == nil) != valid {
			t.Errorf("%s: error %v", line, err)
		}
	}
}

// FuzzDecode looks for lines on which Decode panics.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"demand":{"who":"d","xid":"a","kind":0,"target_fn":"00","valid_until_ns":5}}`))
	f.Fuzz(func(_ *testing.T, line []byte) { _, _ = Decode(line) })
}

// Writer escapes strings and pads function IDs to 16 digits.
func TestWriterWritesActionLines(t *testing.T) {
	var writer Writer
	writer.Open("shed", `d"1`).Str("xid", "r").Int("wait_ns", -2).Fn(0xab).End()
	writer.Yield()
	want := `{"shed":{"who":"d\"1","xid":"r","wait_ns":-2,"target_fn":"00000000000000ab"}}` + "\n" +
		`{"yield":{}}` + "\n"
	if string(writer.Buf) != want {
		t.Errorf("wrote %s", writer.Buf)
	}
}
