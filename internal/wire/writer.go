package wire

import (
	"encoding/json"
	"strconv"
)

// Writer builds a reply in Buf, one action per line. The zero value is ready to use. Open begins an
// action, Int, Str and Fn add its fields, and End completes it.
type Writer struct{ Buf []byte }

// Open begins an action with the given name for the instance who.
func (w *Writer) Open(name, who string) *Writer {
	w.Buf = append(w.Buf, `{"`...)
	w.Buf = append(w.Buf, name...)
	w.Buf = append(w.Buf, `":{`...)
	return w.Str("who", who)
}

// Int adds an integer field to the open action.
func (w *Writer) Int(key string, value int64) *Writer {
	w.key(key)
	w.Buf = strconv.AppendInt(w.Buf, value, 10)
	return w
}

// Str adds a string field to the open action.
func (w *Writer) Str(key, value string) *Writer {
	w.key(key)
	if needsEscape(value) {
		quoted, _ := json.Marshal(value) // cannot fail for a string
		w.Buf = append(w.Buf, quoted...)
		return w
	}
	w.Buf = append(w.Buf, '"')
	w.Buf = append(w.Buf, value...)
	w.Buf = append(w.Buf, '"')
	return w
}

// Fn adds a function ID as 16 hexadecimal digits to the open action.
func (w *Writer) Fn(function uint64) *Writer {
	w.key("target_fn")
	w.Buf = append(w.Buf, '"')
	for shift := 60; shift >= 0; shift -= 4 {
		w.Buf = append(w.Buf, "0123456789abcdef"[function>>uint(shift)&15])
	}
	w.Buf = append(w.Buf, '"')
	return w
}

// End completes the open action and its line.
func (w *Writer) End() { w.Buf = append(w.Buf, "}}\n"...) }

// Yield ends the reply.
func (w *Writer) Yield() { w.Buf = append(w.Buf, "{\"yield\":{}}\n"...) }

// key appends a key, after a comma unless it is the action's first.
func (w *Writer) key(name string) {
	if w.Buf[len(w.Buf)-1] != '{' {
		w.Buf = append(w.Buf, ',')
	}
	w.Buf = append(w.Buf, '"')
	w.Buf = append(w.Buf, name...)
	w.Buf = append(w.Buf, '"', ':')
}

// needsEscape reports whether a string contains a quote, a backslash or any byte that is not
// printable ASCII.
func needsEscape(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			return true
		}
	}
	return false
}
