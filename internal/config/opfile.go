// Package opfile owns the operator's file: the TOML file that sets what the platform's configuration does not. It must
// never guess: an unknown key or a value that cannot be used is an error of one line that names file, line and key.
package config

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"oakthread/webhook"
)

// File is the operator's file. A section that is not there is nil, and its part of the program off.
type File struct {
	Path     string           `toml:"-"`
	Log      Log              `toml:"log"`
	List     *List            `toml:"list"`
	HTTP2    *HTTP2           `toml:"http2"`
	Webhooks *webhook.Options `toml:"webhooks"`
}

// HTTP2 is the front for HTTP/2 without TLS.
type HTTP2 struct {
	Listen      string `toml:"listen"`
	Connections int    `toml:"connections"` // held at a time; 0: 64
	Streams     int    `toml:"streams"`     // open at a time on one connection; 0: 250
}

// Log is how the daemon writes its log.
type Log struct {
	Format string `toml:"format"` // text or json
	Level  string `toml:"level"`  // debug, info, warn or error
}

// List is the kept list: starting while discovery is down.
type List struct {
	Path      string   `toml:"path"`       // of the file; on a disk that outlives the daemon
	Discovery []string `toml:"discovery"`  // addresses asked in turn; empty: the platform's channel
	Siblings  int      `toml:"siblings"`   // dispatchers that may restart together; 0: as the settings tell
	Budget    float64  `toml:"budget"`     // part of a box's former load that it gets at its first proof
	ProbeRate float64  `toml:"probe_rate"` // probes a second at one box, from all dispatchers together
	MaxWait   Span     `toml:"max_wait"`   // longest time told to a call that is turned away at the start
}

// Span is a time such as "1.5s".
type Span struct{ time.Duration }

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(b []byte) (err error) {
	s.Duration, err = time.ParseDuration(string(b))
	return err
}

// Read reads and checks a file. Relative paths in it start at its folder.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	f, err := Parse(path, string(raw))
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Parse is Read on a text; path names it in errors and anchors relative paths.
func Parse(path, text string) (*File, error) {
	f := &File{Path: path}
	meta, err := toml.Decode(text, f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, decodeError(text, err))
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return nil, fault{left[0].String(), "", "is no key of this file"}.in(path, text)
	}
	if bad := f.check(meta); bad != nil {
		return nil, bad.in(path, text)
	}
	if f.List != nil {
		f.List.Path = beside(path, f.List.Path)
	}
	if f.Webhooks != nil {
		if err := f.Webhooks.Resolve(path); err != nil {
			return nil, fmt.Errorf("%s: section webhooks: %w", path, err)
		}
	}
	return f, nil
}

func beside(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

var lineOf = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (?s:(.*))$`)

// decodeError words the library's error with the line's own text, so that the value stands there.
func decodeError(text string, err error) error {
	m := lineOf.FindStringSubmatch(err.Error())
	if m == nil {
		return errors.New(strings.ReplaceAll(strings.TrimPrefix(err.Error(), "toml: "), "\n", " "))
	}
	n := 0
	fmt.Sscan(m[1], &n)
	lines := strings.Split(text, "\n")
	if n < 1 || n > len(lines) {
		return err
	}
	return fmt.Errorf("line %d, key %s: %s: %q", n, m[2], strings.ReplaceAll(m[3], "\n", " "), strings.TrimSpace(lines[n-1]))
}

// fault is a key whose value cannot be used.
type fault struct{ key, value, why string }

func (f fault) in(path, text string) error {
	value := ""
	if f.value != "" {
		value = fmt.Sprintf(" %q", f.value)
	}
	if n := locate(text, f.key); n > 0 {
		return fmt.Errorf("%s: line %d, key %s:%s %s", path, n, f.key, value, f.why)
	}
	return fmt.Errorf("%s: key %s:%s %s", path, f.key, value, f.why)
}

// locate is the number of the line on which a key is set, as far as a look at the text tells; 0: not found.
func locate(text, key string) int {
	section, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		section, name = key[:i], key[i+1:]
	}
	at, header := "", 0
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			at = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			if at == key || at == section && header == 0 {
				header = i + 1
			}
			continue
		}
		if k, _, ok := strings.Cut(line, "="); ok && at == section && strings.Trim(strings.TrimSpace(k), `"'`) == name {
			return i + 1
		}
	}
	return header
}

func (f *File) check(meta toml.MetaData) *fault {
	switch f.Log.Format {
	case "", "text", "json":
	default:
		return &fault{"log.format", f.Log.Format, `is neither "text" nor "json"`}
	}
	var level slog.Level
	if f.Log.Level != "" && level.UnmarshalText([]byte(f.Log.Level)) != nil {
		return &fault{"log.level", f.Log.Level, "is none of debug, info, warn, error"}
	}
	if h := f.HTTP2; h != nil {
		if _, port, err := net.SplitHostPort(h.Listen); err != nil || port == "" {
			return &fault{"http2.listen", h.Listen, "is no address HOST:PORT"}
		}
		for _, x := range []struct { // in order: the same error for the same file
			key string
			v   int
		}{{"connections", h.Connections}, {"streams", h.Streams}} {
			if meta.IsDefined("http2", x.key) && (x.v < 1 || x.v > 10_000) {
				return &fault{"http2." + x.key, fmt.Sprint(x.v), "lies outside 1 to 10000"}
			}
		}
	}
	l := f.List
	if l == nil {
		return nil
	}
	if l.Path == "" {
		return &fault{"list.path", "", "is missing: it names the file that the list is kept in"}
	}
	for _, a := range l.Discovery {
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return &fault{"list.discovery", a, "is no address HOST:PORT"}
		}
	}
	for _, x := range []struct {
		key       string
		v         float64
		low, high float64
	}{{"siblings", float64(l.Siblings), 1, 100_000}, {"budget", l.Budget, 0.01, 1}, {"probe_rate", l.ProbeRate, 1, 10_000},
		{"max_wait", l.MaxWait.Seconds(), 0.05, 60}} {
		if meta.IsDefined("list", x.key) && !(x.v >= x.low && x.v <= x.high) {
			return &fault{"list." + x.key, fmt.Sprint(x.v), fmt.Sprintf("lies outside %v to %v", x.low, x.high)}
		}
	}
	return nil
}

// Handler is the log handler that the file asks for; nil File: text, from info on.
func (f *File) Handler(w interface{ Write([]byte) (int, error) }) slog.Handler {
	o := &slog.HandlerOptions{}
	if f == nil {
		return slog.NewTextHandler(w, o)
	}
	var level slog.Level
	if f.Log.Level != "" {
		_ = level.UnmarshalText([]byte(f.Log.Level)) // checked when it was read
	}
	o.Level = level
	if f.Log.Format == "json" {
		return slog.NewJSONHandler(w, o)
	}
	return slog.NewTextHandler(w, o)
}
