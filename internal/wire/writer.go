package wire

import (
	"encoding/json"
	"strconv"
)

// Writer builds a reply of actions, one a line. The zero value is ready for use. An action is begun by Open,
// filled by Int, Str and Fn, and closed by End.
type Writer struct{ Buf []byte }

// Open begins an action of an instance.
func (w *Writer) Open(name, who string) *Writer {
	w.Buf = append(w.Buf, `{"`...)
	w.Buf = append(w.Buf, name...)
	w.Buf = append(w.Buf, `":{`...)
	return w.Str("who", who)
}

// Int adds a whole number to the open action.
func (w *Writer) Int(key string, value int64) *Writer {
	w.key(key)
	w.Buf = strconv.AppendInt(w.Buf, value, 10)
	return w
}

// Str adds a string to the open action.
func (w *Writer) Str(key, value string) *Writer {
	w.key(key)
	if needsEscape(value) {
		quoted, _ := json.Marshal(value) // of a string, which cannot fail
		w.Buf = append(w.Buf, quoted...)
		return w
	}
	w.Buf = append(w.Buf, '"')
	w.Buf = append(w.Buf, value...)
	w.Buf = append(w.Buf, '"')
	return w
}

// Fn adds a function id, as 16 hex digits.
func (w *Writer) Fn(function uint64) *Writer {
	w.key("target_fn")
	w.Buf = append(w.Buf, '"')
	for shift := 60; shift >= 0; shift -= 4 {
		w.Buf = append(w.Buf, "0123456789abcdef"[function>>uint(shift)&15])
	}
	w.Buf = append(w.Buf, '"')
	return w
}

// End closes the action and its line.
func (w *Writer) End() { w.Buf = append(w.Buf, "}}\n"...) }

// Yield ends the reply.
func (w *Writer) Yield() { w.Buf = append(w.Buf, "{\"yield\":{}}\n"...) }

// key adds a key to the open action.
func (w *Writer) key(name string) {
	if w.Buf[len(w.Buf)-1] != '{' {
		w.Buf = append(w.Buf, ',')
	}
	w.Buf = append(w.Buf, '"')
	w.Buf = append(w.Buf, name...)
	w.Buf = append(w.Buf, '"', ':')
}

// needsEscape reports whether a string holds bytes other than printable ASCII without quote and backslash.
func needsEscape(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			return true
		}
	}
	return false
}
