package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

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
	keys       []string // the keys that the file held
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
	c := &Config{
		Name: f.Name, Listen: f.Listen, Cores: f.Limits.Cores, Sockets: f.Limits.Sockets,
		Memory: int64(f.Limits.MemoryMB * (1 << 20)), PeerListen: f.PeerListen, Channel: f.Channel, Console: f.Console,
		Cursor: f.Known.Cursor, keys: configKeys(raw),
	}
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
		if len(ev.Invalid) > 0 {
			return nil, fmt.Errorf("known.cmds[%d]: %w", i, ev.Invalid[0])
		}
		c.Known = append(c.Known, ev)
		c.Cursor = max(c.Cursor, ev.Cursor)
	}
	return c, nil
}
