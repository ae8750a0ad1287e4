// Package config reads the dispatcher's configuration file: the TOML file that sets what the
// platform's configuration does not. A key that is unknown or a value that cannot be used is an
// error of one line that names the file, line and key.
package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"

	"oakthread/webhook"
)

// File is the configuration file. A section that the file does not have is nil, and turns its part
// of the program off.
type File struct {
	Path          string           `toml:"-"`
	Log           Log              `toml:"log"`
	EndpointCache *EndpointCache   `toml:"list"`
	HTTP2         *HTTP2           `toml:"http2"`
	Webhooks      *webhook.Options `toml:"webhooks"`
}

// HTTP2 configures the front for HTTP/2 without TLS.
type HTTP2 struct {
	Listen     string `toml:"listen"`
	MaxConns   int    `toml:"connections"` // maximum number of connections; 0: 64
	MaxStreams int    `toml:"streams"`     // maximum number of open streams of a connection; 0: 250
}

// Log configures the dispatcher's log.
type Log struct {
	Format string `toml:"format"` // text or json
	Level  string `toml:"level"`  // debug, info, warn or error
}

// EndpointCache configures the cached endpoint list, with which the dispatcher starts while discovery is
// down.
type EndpointCache struct {
	// Path names the file, on a disk that outlives the process.
	Path string `toml:"path"`
	// Discovery lists the addresses of discovery, in the order of use; empty: the platform's.
	Discovery []string `toml:"discovery"`
	// Dispatchers is the number of dispatchers that may restart at the same time; 0: as the platform's
	// settings say.
	Dispatchers int `toml:"siblings"`
	// InitialLoadFraction is the fraction of its former load that an endpoint receives at its first
	// verification.
	InitialLoadFraction float64 `toml:"budget"`
	// HealthCheckRate is the number of health checks a second at one endpoint, by all dispatchers
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
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, string(raw))
}

// Parse is Read for the text of a file. path names it in errors and is the base of relative paths.
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
