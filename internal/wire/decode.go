package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrNotAnEvent is returned for a line that is not an object with one key.
var ErrNotAnEvent = errors.New("not an object with one key")

// newEvent returns an empty event by its name on the wire, nil if the name is not known.
func newEvent(name string) any {
	switch name {
	case "clock":
		return &Clock{}
	case "boot":
		return &Boot{}
	case "define_list":
		return &DefineList{}
	case "sync":
		return &Sync{}
	case "demand":
		return &Demand{}
	case "bell":
		return &Bell{}
	case "first_byte":
		return &FirstByte{}
	case "attempt_end":
		return &AttemptEnd{}
	case "pong":
		return &Pong{}
	case "killed":
		return &Killed{}
	case "note_from":
		return &NoteFrom{}
	case "warmed":
		return &Warmed{}
	case "vanished":
		return &Vanished{}
	case "over_to_you":
		return &OverToYou{}
	}
	return nil
}

// Decode decodes one line: an object with one key, the event's name. It returns a pointer to the
// event, or an *Unknown if the name is not known. The error is ErrNotAnEvent or describes what is
// malformed.
func Decode(line []byte) (any, error) {
	line = bytes.TrimSpace(line)
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || len(line) < 5 || line[0] != '{' || line[len(line)-1] != '}' {
		return nil, ErrNotAnEvent
	}
	var name string
	if err := json.Unmarshal(bytes.TrimSpace(line[1:colon]), &name); err != nil {
		return nil, fmt.Errorf("event name: %w", err)
	}
	event := newEvent(name)
	if event == nil {
		if !json.Valid(line) {
			return nil, fmt.Errorf("unknown event %q: invalid JSON", name)
		}
		return &Unknown{name}, nil
	}
	if err := json.Unmarshal(line[colon+1:len(line)-1], event); err != nil {
		return nil, fmt.Errorf("event %q: %w", name, err)
	}
	return event, nil
}
