// Package platform is the thin front for the platform's own protocol: configuration, clients, executors, the
// command channel and datagrams between dispatchers.
//
// This file owns the configuration, read once at the start. It must never guess: what cannot be used is an
// error of one plain line.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// Config is what the platform tells a dispatcher.
type Config struct {
	Name       string
	Listen     string
	Seed       uint64
	Cores      float64
	Memory     int64 // bytes; 0: no limit told
	Sockets    int
	PeerListen string
	Peers      []netip.AddrPort // by number
	PeersAll   netip.AddrPort
	Channel    string
	Console    string // where the operators' console listens; "" for none
	Known      []Event
	Cursor     int64
	Setup      *wire.Setup
	shape      []string // the keys that the file held
}

const defaultSockets = 1024

// Load reads the file that ROUTER_CONFIG names; ROUTER_NAME and ROUTER_LISTEN fill what it leaves out.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set: it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if c.Name == "" {
		c.Name = getenv("ROUTER_NAME")
	}
	if c.Listen == "" {
		c.Listen = getenv("ROUTER_LISTEN")
	}
	if c.Console == "" {
		c.Console = getenv("ROUTER_CONSOLE")
	}
	if c.Console != "" {
		if _, _, err := net.SplitHostPort(c.Console); err != nil {
			return nil, fmt.Errorf("configuration: console: %w", err)
		}
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return c, nil
}

func parseConfig(raw []byte) (*Config, error) {
	var f struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Seed   string `json:"seed"`
		Limits struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		PeersAll   string   `json:"peers_all"`
		Channel    string   `json:"channel"`
		Console    string   `json:"console"`
		Known      struct {
			Cursor int64             `json:"cursor"`
			Cmds   []json.RawMessage `json:"cmds"`
		} `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Cores: f.Limits.Cores, Sockets: f.Limits.Sockets,
		Memory: int64(f.Limits.MemoryMB * (1 << 20)), PeerListen: f.PeerListen, Channel: f.Channel, Console: f.Console,
		Cursor: f.Known.Cursor, shape: shape(raw)}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	var err error
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a hexadecimal number", f.Seed)
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings are missing")
	}
	if c.Setup, err = wire.ReadSetup(f.Settings); err != nil {
		return nil, err
	}
	if len(c.Setup.Categories) == 0 {
		return nil, errors.New("settings: categories are missing")
	}
	for i, p := range f.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, a)
	}
	if f.PeersAll != "" {
		if c.PeersAll, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	if c.Channel != "" {
		if _, _, err := net.SplitHostPort(c.Channel); err != nil {
			return nil, fmt.Errorf("channel: %w", err)
		}
	}
	for i, raw := range f.Known.Cmds {
		ev, err := parseEvent(raw, c.Setup)
		if err != nil {
			return nil, fmt.Errorf("known.cmds[%d]: %w", i, err)
		}
		if len(ev.Odd) > 0 {
			return nil, fmt.Errorf("known.cmds[%d]: %w", i, ev.Odd[0])
		}
		c.Known = append(c.Known, ev)
		c.Cursor = max(c.Cursor, ev.Cursor)
	}
	return c, nil
}

// Event is one change of the list of executors. A line with a number alone has only a Cursor.
type Event struct {
	Cursor int64
	Beat   bool
	Epoch  string  // of the numbering, where discovery tells one
	Told   bool    // it tells of executors
	Odd    []error // of those that cannot be used: left out, or draining where their phase is not known
	Roster oakthread.EndpointUpdate
}

// eventLine and listedBox are an event as the command channel writes it.
type eventLine struct {
	Cursor *int64 `json:"cursor"`
	Epoch  string `json:"epoch"`
	Nodes  *struct {
		Complete bool        `json:"complete"`
		Members  []listedBox `json:"members"`
	} `json:"nodes"`
}

type listedBox struct {
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
		return Event{Cursor: n, Beat: true}, nil
	}
	var f eventLine
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return Event{}, err
	}
	if f.Cursor == nil || *f.Cursor < 0 {
		return Event{}, errors.New("field cursor is missing")
	}
	ev := Event{Cursor: *f.Cursor, Epoch: f.Epoch, Told: true, Roster: oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta}}
	if f.Nodes == nil {
		ev.Told = false
		return ev, nil // an event of a kind not known here: its number counts
	}
	if f.Nodes.Complete {
		ev.Roster.Kind = balancer.EndpointsSnapshot
	}
	for i, m := range f.Nodes.Members {
		if m.ID == "" {
			ev.Odd = append(ev.Odd, fmt.Errorf("members[%d]: field id is missing", i))
			continue
		}
		e := oakthread.Endpoint{ID: WorkerID(m.ID), Addr: m.HostPort, Zone: place(s.Zones, m.Locality),
			Kind: place(s.Kinds, m.Flavor), Cell: m.Cell, Weight: m.Size}
		switch m.Phase {
		case "Ready":
			e.State = balancer.Active
		case "Terminating":
			e.State = balancer.Draining
		case "Gone":
			e.State = balancer.Removed
		default:
			e.State = balancer.Draining
			ev.Odd = append(ev.Odd, fmt.Errorf("members[%d]: phase %q of %q is not known", i, m.Phase, m.ID))
		}
		if e.State != balancer.Removed {
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
				ev.Odd = append(ev.Odd, fmt.Errorf("members[%d]: host_port %q of %q: %w", i, m.HostPort, m.ID, err))
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

// place is the number of a name in a list of the settings. One not listed gets the number after the last.
func place(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}
