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

// Event is one change of the list of executors. A line with a number alone has only a Cursor.
type Event struct {
	Cursor    int64
	Heartbeat bool
	Epoch     string  // of the numbering, where discovery tells one
	HasUpdate bool    // it tells of executors
	Invalid   []error // of those that cannot be used: left out, or draining where their phase is not known
	Roster    oakthread.EndpointUpdate
}

// eventLine and listedBox are an event as the command channel writes it.
type eventLine struct {
	Cursor *int64 `json:"cursor"`
	Epoch  string `json:"epoch"`
	Nodes  *struct {
		Complete bool           `json:"complete"`
		Members  []listedMember `json:"members"`
	} `json:"nodes"`
}

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

// parseEvent decodes a line of the command channel.
func parseEvent(line []byte, s *wire.Setup) (Event, error) {
	text := strings.TrimSpace(string(line))
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
		return Event{Cursor: n, Heartbeat: true}, nil
	}
	var f eventLine
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return Event{}, err
	}
	if f.Cursor == nil || *f.Cursor < 0 {
		return Event{}, errors.New("field cursor is missing")
	}
	ev := Event{Cursor: *f.Cursor, Epoch: f.Epoch, HasUpdate: true, Roster: oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta}}
	if f.Nodes == nil {
		ev.HasUpdate = false
		return ev, nil // an event of a kind not known here: its number counts
	}
	if f.Nodes.Complete {
		ev.Roster.Kind = balancer.EndpointsSnapshot
	}
	for i, m := range f.Nodes.Members {
		if m.ID == "" {
			ev.Invalid = append(ev.Invalid, fmt.Errorf("members[%d]: field id is missing", i))
			continue
		}
		e := oakthread.Endpoint{
			ID: WorkerID(m.ID), Addr: m.HostPort, Zone: indexOrNext(s.Zones, m.Locality),
			Kind: indexOrNext(s.Kinds, m.Flavor), Cell: m.Cell, Weight: m.Size,
		}
		switch m.Phase {
		case "Ready":
			e.State = balancer.Active
		case "Terminating":
			e.State = balancer.Draining
		case "Gone":
			e.State = balancer.Removed
		default:
			e.State = balancer.Draining
			ev.Invalid = append(ev.Invalid, fmt.Errorf("members[%d]: phase %q of %q is not known", i, m.Phase, m.ID))
		}
		if e.State != balancer.Removed {
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
				ev.Invalid = append(ev.Invalid, fmt.Errorf("members[%d]: host_port %q of %q: %w", i, m.HostPort, m.ID, err))
				continue
			}
		}
		if m.UpSince > 0 {
			e.Start = time.UnixMilli(m.UpSince)
		}
		ev.Roster.Endpoints = append(ev.Roster.Endpoints, e)
	}
	return ev, nil
}

// WorkerID is the number behind an id such as s-00c41f7a, the same at every dispatcher; a hash for other forms.
func WorkerID(id string) balancer.WorkerID {
	if _, hex, ok := strings.Cut(id, "-"); ok && len(hex) == 8 {
		if n, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return balancer.WorkerID(n)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return balancer.WorkerID(h.Sum32())
}

// indexOrNext is the number of a name in a list of the settings. One not listed gets the number after the last.
func indexOrNext(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}
