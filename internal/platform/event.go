package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// Event is one line of the command channel: a change of the endpoint list, an event of an unknown
// kind, or a heartbeat. A heartbeat consists of the number of the last event, either as a plain
// number or as the only field of an object.
type Event struct {
	Cursor    int64 // number of the event; in a heartbeat, of the last event
	Heartbeat bool
	Epoch     string // epoch of the event numbers; "" if discovery sends none
	HasUpdate bool   // the event changes the endpoint list, and Update holds the change
	// Invalid has an error for each member that was skipped, or that is treated as draining because
	// its phase is unknown.
	Invalid []error
	Update  oakthread.EndpointUpdate
}

// eventLine is the JSON form of an event on the command channel.
type eventLine struct {
	Cursor *int64 `json:"cursor"`
	Epoch  string `json:"epoch"`
	Nodes  *struct {
		Complete bool           `json:"complete"`
		Members  []listedMember `json:"members"`
	} `json:"nodes"`
}

// listedMember is the JSON form of an executor in an event.
type listedMember struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// stateByPhase maps the known phases of executors to endpoint states.
var stateByPhase = map[string]balancer.EndpointState{
	"Ready": balancer.Active, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// parseEvent decodes a line of the command channel.
func parseEvent(line []byte, settings *wire.Settings) (Event, error) {
	text := strings.TrimSpace(string(line))
	if number, err := strconv.ParseInt(text, 10, 64); err == nil && number >= 0 {
		return Event{Cursor: number, Heartbeat: true}, nil
	}
	var decoded eventLine
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		return Event{}, err
	}
	if decoded.Cursor == nil || *decoded.Cursor < 0 {
		return Event{}, errors.New("field cursor is missing")
	}
	event := Event{
		Cursor: *decoded.Cursor, Epoch: decoded.Epoch, HasUpdate: decoded.Nodes != nil,
		Update: oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta},
	}
	if decoded.Nodes == nil {
		event.Heartbeat = hasOnlyCursor(text)
		return event, nil // an event of an unknown kind matters for its cursor and epoch alone
	}
	if decoded.Nodes.Complete {
		event.Update.Kind = balancer.EndpointsSnapshot
	}
	for i, member := range decoded.Nodes.Members {
		event.addMember(i, member, settings)
	}
	return event, nil
}

// hasOnlyCursor reports whether the JSON object of an event, which has a cursor, has no other
// field.
func hasOnlyCursor(text string) bool {
	var fields map[string]json.RawMessage
	return json.Unmarshal([]byte(text), &fields) == nil && len(fields) == 1
}

// addMember adds the executor at an index of the event to the update. It records an error if it
// skips the executor or if the phase is unknown.
func (e *Event) addMember(index int, member listedMember, settings *wire.Settings) {
	if member.ID == "" {
		e.addInvalid(index, errors.New("field id is missing"))
		return
	}
	state, known := stateByPhase[member.Phase]
	if !known {
		state = balancer.Draining
		e.addInvalid(index, fmt.Errorf("phase %q of %q is not known", member.Phase, member.ID))
	}
	if state != balancer.Removed {
		if _, err := netip.ParseAddrPort(member.HostPort); err != nil {
			e.addInvalid(index, fmt.Errorf("host_port %q of %q: %w", member.HostPort, member.ID, err))
			return
		}
	}
	endpoint := oakthread.Endpoint{
		ID: WorkerID(member.ID), Addr: member.HostPort, Zone: indexOrNext(settings.Zones, member.Locality),
		Kind: indexOrNext(settings.Kinds, member.Flavor), Cell: member.Cell, State: state, Weight: member.Size,
	}
	if member.UpSince > 0 {
		endpoint.Start = time.UnixMilli(member.UpSince)
	}
	e.Update.Endpoints = append(e.Update.Endpoints, endpoint)
}

// addInvalid records the error of the member at an index.
func (e *Event) addInvalid(index int, err error) {
	e.Invalid = append(e.Invalid, fmt.Errorf("members[%d]: %w", index, err))
}

// WorkerID returns the hexadecimal number in an id such as s-00c41f7a, or the 32-bit FNV-1a hash of
// an id of another form. All dispatchers derive the same WorkerID from an id.
func WorkerID(id string) balancer.WorkerID {
	if _, hex, ok := strings.Cut(id, "-"); ok && len(hex) == 8 {
		if n, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return balancer.WorkerID(n)
		}
	}
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return balancer.WorkerID(hash.Sum32())
}

// indexOrNext returns the index of a name in a list of the settings, or the first unused index if
// the name is not listed.
func indexOrNext(names []string, name string) int {
	for i, listed := range names {
		if listed == name {
			return i
		}
	}
	return len(names)
}
