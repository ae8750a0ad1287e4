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

// defaultSockets limits the number of sockets if the configuration file sets no limit.
const defaultSockets = 1024

// Config is a dispatcher's configuration, decoded from the platform's configuration file.
type Config struct {
	Name          string
	Listen        string
	Seed          uint64
	Cores         float64
	Memory        int64 // limit in bytes; 0: the file sets none
	Sockets       int
	PeerListen    string
	Peers         []netip.AddrPort // indexed by dispatcher number
	PeersAll      netip.AddrPort   // reaches all peers; the zero value: there is no such address
	Channel       string
	Console       string // address of the operators' console; "": disabled
	InitialEvents []Event
	Cursor        int64 // number of the last event that the file accounts for
	Settings      *wire.Settings
	keys          []string // sorted keys of the file, for CheckReload
}

// LoadConfig reads the file named by ROUTER_CONFIG. ROUTER_NAME, ROUTER_LISTEN and ROUTER_CONSOLE
// supply the name, the listen address and the console address if the file omits them. Errors are
// single lines; apart from an unset ROUTER_CONFIG they begin with "configuration:".
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set; it must name the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config, err := parseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config.applyEnv(getenv)
	if config.Console != "" {
		if _, _, err := net.SplitHostPort(config.Console); err != nil {
			return nil, fmt.Errorf("configuration: console: %w", err)
		}
	}
	if _, _, err := net.SplitHostPort(config.Listen); err != nil {
		return nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return config, nil
}

// applyEnv fills in the name and addresses that the file omits from environment variables.
func (c *Config) applyEnv(getenv func(string) string) {
	if c.Name == "" {
		c.Name = getenv("ROUTER_NAME")
	}
	if c.Listen == "" {
		c.Listen = getenv("ROUTER_LISTEN")
	}
	if c.Console == "" {
		c.Console = getenv("ROUTER_CONSOLE")
	}
}

// configFile is the JSON form of the configuration file.
type configFile struct {
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

// parseConfig decodes a configuration file and validates its seed, settings, peers, channel and
// events.
func parseConfig(raw []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	config := &Config{
		Name: file.Name, Listen: file.Listen, Cores: file.Limits.Cores, Sockets: file.Limits.Sockets,
		Memory: int64(file.Limits.MemoryMB * (1 << 20)), PeerListen: file.PeerListen, Channel: file.Channel,
		Console: file.Console, Cursor: file.Known.Cursor, keys: configKeys(raw),
	}
	if config.Sockets <= 0 {
		config.Sockets = defaultSockets
	}
	for _, parse := range []func(*configFile) error{
		config.parseSeed, config.parseSettings, config.parsePeers, config.checkChannel, config.parseInitialEvents,
	} {
		if err := parse(&file); err != nil {
			return nil, err
		}
	}
	return config, nil
}

func (c *Config) parseSeed(file *configFile) (err error) {
	if file.Seed == "" {
		return nil
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is not a hexadecimal number", file.Seed)
	}
	return nil
}

func (c *Config) parseSettings(file *configFile) (err error) {
	if len(file.Settings) == 0 {
		return errors.New("settings are missing")
	}
	if c.Settings, err = wire.ReadSettings(file.Settings); err != nil {
		return err
	}
	if len(c.Settings.Categories) == 0 {
		return errors.New("settings: categories are missing")
	}
	return nil
}

func (c *Config) parsePeers(file *configFile) (err error) {
	for i, text := range file.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if file.PeersAll == "" {
		return nil
	}
	if c.PeersAll, err = netip.ParseAddrPort(file.PeersAll); err != nil {
		return fmt.Errorf("peers_all: %w", err)
	}
	return nil
}

func (c *Config) checkChannel(*configFile) error {
	if c.Channel == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Channel); err != nil {
		return fmt.Errorf("channel: %w", err)
	}
	return nil
}

// parseInitialEvents decodes the events in the file. Unlike on the command channel, an event with
// an invalid member (executor) is an error.
func (c *Config) parseInitialEvents(file *configFile) error {
	for i, raw := range file.Known.Cmds {
		event, err := parseEvent(raw, c.Settings)
		if err != nil {
			return fmt.Errorf("known.cmds[%d]: %w", i, err)
		}
		if len(event.Invalid) > 0 {
			return fmt.Errorf("known.cmds[%d]: %w", i, event.Invalid[0])
		}
		c.InitialEvents = append(c.InitialEvents, event)
		c.Cursor = max(c.Cursor, event.Cursor)
	}
	return nil
}
