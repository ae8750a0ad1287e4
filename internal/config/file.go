// Package config reads the dispatcher's configuration file: the TOML file that sets what the
// platform's configuration does not. An unknown key or an invalid value is a one-line error that
// names the file and the key, and the line if it is found.
package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"

	"oakthread/webhook"
)

// File is the configuration file. EndpointCache, HTTP2 and Webhooks are nil if the file has no such
// section, which turns that part of the program off.
type File struct {
	Path          string           `toml:"-"`
	Log           Log              `toml:"log"`
	EndpointCache *EndpointCache   `toml:"list"`
	HTTP2         *HTTP2           `toml:"http2"`
	Webhooks      *webhook.Options `toml:"webhooks"`
}

// HTTP2 configures the server for HTTP/2 without TLS.
type HTTP2 struct {
	Listen     string `toml:"listen"`
	MaxConns   int    `toml:"connections"` // maximum number of connections; 0: 64
	MaxStreams int    `toml:"streams"`     // maximum number of concurrent streams per connection; 0: 250
}

// Log configures the dispatcher's log.
type Log struct {
	Format string `toml:"format"` // text or json
	Level  string `toml:"level"`  // debug, info, warn or error
}

// EndpointCache configures the cached endpoint list, from which the dispatcher starts while service
// discovery is down.
type EndpointCache struct {
	// Path is the file of the list, on a disk that outlives the process.
	Path string `toml:"path"`
	// Discovery lists the addresses of service discovery, in order of preference; empty: that of the
	// platform's configuration.
	Discovery []string `toml:"discovery"`
	// Dispatchers is the number of dispatchers that may restart at the same time; 0: the number in the
	// platform's settings.
	Dispatchers int `toml:"siblings"`
	// InitialLoadFraction is the fraction of its former load that an endpoint receives at its first
	// verification, 0.01 to 1.
	InitialLoadFraction float64 `toml:"budget"`
	// HealthCheckRate is the number of health checks per second of one endpoint, by all dispatchers
	// together.
	HealthCheckRate float64 `toml:"probe_rate"`
	// MaxRetryAfter is the longest Retry-After of a call that is rejected during the start.
	MaxRetryAfter Duration `toml:"max_wait"`
}

// Duration is a duration in the text form of time.ParseDuration, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration.
func (s *Duration) UnmarshalText(text []byte) (err error) {
	s.Duration, err = time.ParseDuration(string(text))
	return err
}

// Read reads and validates the file at path. Relative paths in it are resolved against its
// directory.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("dispatcher's configuration file: %w", err)
	}
	return Parse(path, string(raw))
}

// Parse is like Read for the text of a file. Errors name path, and relative paths are resolved
// against its directory.
func Parse(path, text string) (*File, error) {
	f := &File{Path: path}
	meta, err := toml.Decode(text, f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, decodeError(text, err))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, locateError(path, text, &keyError{key: unknown[0].String(), reason: "is no key of this file"})
	}
	if err := f.validate(meta); err != nil {
		return nil, locateError(path, text, err)
	}
	if f.EndpointCache != nil {
		f.EndpointCache.Path = resolvePath(path, f.EndpointCache.Path)
	}
	if f.Webhooks != nil {
		if err := f.Webhooks.Resolve(path); err != nil {
			return nil, fmt.Errorf("%s: section webhooks: %w", path, err)
		}
	}
	return f, nil
}

// resolvePath resolves a relative path against the directory of file.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}
