// Package wire reads and writes the simulator's line protocol. It translates and decides nothing.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// The events, field by field as on the wire.
type (
	Clock struct {
		Now *int64 `json:"sim_time_ns"`
	}
	Boot struct {
		Who   string          `json:"who"`
		Seed  uint64          `json:"prng"`
		Setup json.RawMessage `json:"setup"`
	}
	Entry struct {
		Runner    *uint32 `json:"runner"`
		Hall      int     `json:"hall"`
		HW        int     `json:"hw"`
		Block     int     `json:"block"`
		Readiness string  `json:"readiness"`
		Nominal   float64 `json:"nominal"`
		UpSince   int64   `json:"up_since_ns"`
	}
	DefineList struct {
		Bank    int     `json:"bank"`
		Entries []Entry `json:"entries"`
	}
	Sync struct {
		Who  string `json:"who"`
		Kind string `json:"kind"`
		Seq  int64  `json:"seq_no"`
		Bank int    `json:"bank"`
	}
	Demand struct {
		Who        string  `json:"who"`
		ID         string  `json:"xid"`
		Kind       int     `json:"kind"`
		Group      int     `json:"user_group"`
		Fn         string  `json:"target_fn"`
		ValidUntil int64   `json:"valid_until_ns"`
		MemoryMB   float64 `json:"memory_mb"`
		Lanes      float64 `json:"lanes"`
		LoadMS     float64 `json:"load_ms"`
		Repeat     bool    `json:"repeat"`
	}
	Bell struct {
		Who string `json:"who"`
		Ref int64  `json:"ref"`
	}
	FirstByte struct {
		Who    string `json:"who"`
		ID     string `json:"xid"`
		Runner uint32 `json:"runner"`
		Trial  int    `json:"trial"`
	}
	AttemptEnd struct {
		Who      string    `json:"who"`
		ID       string    `json:"xid"`
		Finished bool      `json:"finished"`
		Info     int       `json:"info"`
		RTT      int64     `json:"rtt_ns"`
		Trial    int       `json:"trial"`
		Runner   uint32    `json:"runner"`
		How      string    `json:"how"`
		Load     []float64 `json:"load"`
	}
	Pong struct {
		Who    string    `json:"who"`
		Runner uint32    `json:"runner"`
		How    string    `json:"how"`
		RTT    int64     `json:"rtt_ns"`
		Load   []float64 `json:"load"`
	}
	Killed struct {
		Who string `json:"who"`
	}
	NoteFrom struct {
		Who    string `json:"who"`
		Sender int    `json:"sender"`
		Data   string `json:"data"`
	}
	Warmed struct {
		Who     string `json:"who"`
		HowMany int    `json:"how_many"`
		Fn      string `json:"target_fn"`
		Runner  uint32 `json:"runner"`
		How     string `json:"how"`
		RTT     int64  `json:"rtt_ns"`
	}
	Vanished struct {
		Who string `json:"who"`
		ID  string `json:"xid"`
	}
	OverToYou struct{}
	Unknown   struct{ Name string }
)

// Decode reads one line: an object with one key, the event's name. An unknown event is an Unknown.
func Decode(line []byte) (any, error) {
	line = bytes.TrimSpace(line)
	i := bytes.IndexByte(line, ':')
	if i < 0 || len(line) < 5 || line[0] != '{' || line[len(line)-1] != '}' {
		return nil, fmt.Errorf("not an object with one key")
	}
	var name string
	if err := json.Unmarshal(bytes.TrimSpace(line[1:i]), &name); err != nil {
		return nil, fmt.Errorf("event name: %w", err)
	}
	body := line[i+1 : len(line)-1]
	var v any
	switch name {
	case "clock":
		v = &Clock{}
	case "boot":
		v = &Boot{}
	case "define_list":
		v = &DefineList{}
	case "sync":
		v = &Sync{}
	case "demand":
		v = &Demand{}
	case "bell":
		v = &Bell{}
	case "first_byte":
		v = &FirstByte{}
	case "attempt_end":
		v = &AttemptEnd{}
	case "pong":
		v = &Pong{}
	case "killed":
		v = &Killed{}
	case "note_from":
		v = &NoteFrom{}
	case "warmed":
		v = &Warmed{}
	case "vanished":
		v = &Vanished{}
	case "over_to_you":
		v = &OverToYou{}
	default:
		if !json.Valid(line) {
			return nil, fmt.Errorf("event %q is malformed", name)
		}
		return &Unknown{name}, nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return nil, fmt.Errorf("event %q: %w", name, err)
	}
	return v, nil
}

// Writer builds the reply. The zero value is ready.
type Writer struct{ Buf []byte }

func (w *Writer) open(name, who string) {
	w.Buf = append(w.Buf, `{"`...)
	w.Buf = append(w.Buf, name...)
	w.Buf = append(w.Buf, `":{`...)
	w.Str("who", who)
}

func (w *Writer) key(k string) {
	if w.Buf[len(w.Buf)-1] != '{' {
		w.Buf = append(w.Buf, ',')
	}
	w.Buf = append(w.Buf, '"')
	w.Buf = append(w.Buf, k...)
	w.Buf = append(w.Buf, '"', ':')
}

// Int adds a whole-number field to the open action.
func (w *Writer) Int(k string, v int64) *Writer {
	w.key(k)
	w.Buf = strconv.AppendInt(w.Buf, v, 10)
	return w
}

// Str adds a string field to the open action.
func (w *Writer) Str(k, v string) *Writer {
	w.key(k)
	for i := 0; i < len(v); i++ {
		if c := v[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			q, _ := json.Marshal(v)
			w.Buf = append(w.Buf, q...)
			return w
		}
	}
	w.Buf = append(w.Buf, '"')
	w.Buf = append(w.Buf, v...)
	w.Buf = append(w.Buf, '"')
	return w
}

// Fn adds a function id.
func (w *Writer) Fn(f uint64) *Writer {
	w.key("target_fn")
	w.Buf = append(w.Buf, '"')
	for s := 60; s >= 0; s -= 4 {
		w.Buf = append(w.Buf, "0123456789abcdef"[f>>uint(s)&15])
	}
	w.Buf = append(w.Buf, '"')
	return w
}

// Open begins an action of the instance.
func (w *Writer) Open(name, who string) *Writer { w.open(name, who); return w }

// End closes the action's line.
func (w *Writer) End() { w.Buf = append(w.Buf, "}}\n"...) }

// Yield ends the reply.
func (w *Writer) Yield() { w.Buf = append(w.Buf, "{\"yield\":{}}\n"...) }
