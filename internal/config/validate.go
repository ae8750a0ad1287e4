package config

import (
	"fmt"
	"log/slog"
	"net"

	"github.com/BurntSushi/toml"
)

// maxHTTP2Limit is the upper bound of the limits of the HTTP/2 server, beyond which they would not
// limit anything.
const maxHTTP2Limit = 10_000

// validate checks the values of the file. It returns the first error in a fixed order, so that the
// same file always yields the same error.
func (f *File) validate(meta toml.MetaData) *keyError {
	if err := f.Log.validate(); err != nil {
		return err
	}
	if err := f.HTTP2.validate(meta); err != nil {
		return err
	}
	return f.EndpointCache.validate(meta)
}

func (l *Log) validate() *keyError {
	switch l.Format {
	case "", "text", "json":
	default:
		return &keyError{"log.format", l.Format, `is neither "text" nor "json"`}
	}
	var level slog.Level
	if l.Level != "" && level.UnmarshalText([]byte(l.Level)) != nil {
		return &keyError{"log.level", l.Level, "is none of debug, info, warn, error"}
	}
	return nil
}

func (h *HTTP2) validate(meta toml.MetaData) *keyError {
	if h == nil {
		return nil
	}
	if !isHostPort(h.Listen) {
		return &keyError{"http2.listen", h.Listen, "is no address HOST:PORT"}
	}
	for _, limit := range []struct {
		key   string
		value int
	}{{"connections", h.MaxConns}, {"streams", h.MaxStreams}} {
		if meta.IsDefined("http2", limit.key) && (limit.value < 1 || limit.value > maxHTTP2Limit) {
			return &keyError{"http2." + limit.key, fmt.Sprint(limit.value), "is outside the range 1 to 10000"}
		}
	}
	return nil
}

func (l *EndpointCache) validate(meta toml.MetaData) *keyError {
	if l == nil {
		return nil
	}
	if l.Path == "" {
		return &keyError{"list.path", "", "is missing: it names the file for the cached endpoint list"}
	}
	for _, address := range l.Discovery {
		if !isHostPort(address) {
			return &keyError{"list.discovery", address, "is no address HOST:PORT"}
		}
	}
	for _, setting := range []struct {
		key              string
		value, low, high float64
	}{
		{"siblings", float64(l.Dispatchers), 1, 100_000},
		{"budget", l.InitialLoadFraction, 0.01, 1},
		{"probe_rate", l.HealthCheckRate, 1, 10_000},
		{"max_wait", l.MaxRetryAfter.Seconds(), 0.05, 60},
	} {
		inRange := setting.value >= setting.low && setting.value <= setting.high // false for NaN
		if meta.IsDefined("list", setting.key) && !inRange {
			reason := fmt.Sprintf("is outside the range %v to %v", setting.low, setting.high)
			return &keyError{"list." + setting.key, fmt.Sprint(setting.value), reason}
		}
	}
	return nil
}

// isHostPort reports whether address has the form HOST:PORT with a non-empty port.
func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}
