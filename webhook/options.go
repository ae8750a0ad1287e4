package webhook

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
)

// Tolerance is the largest difference between a message's timestamp and the local clock that the
// specification accepts.
const Tolerance = 5 * time.Minute

const (
	defaultMaxReceipts      = 1_000_000
	defaultReceiptRetention = 7 * 24 * time.Hour // the specification's retry schedule ends after about three days
	defaultInitialBackoff   = 5 * time.Second
	defaultMaxBackoff       = time.Hour
	defaultMaxTotalBackoff  = 3 * 24 * time.Hour
)

// Options configure the webhook front. They are read from a TOML file of their own or from a
// section of the dispatcher's configuration file.
type Options struct {
	Listen string `toml:"listen"`
	// State is the path of the state file. It is required for classes that are not idempotent.
	State string `toml:"state"`
	// Classes are those that webhooks may request; empty: all.
	Classes []string `toml:"classes"`
	// NotifiedClasses are those whose completions are sent to operators as notifications.
	NotifiedClasses []string `toml:"notify"`
	// MaxReceipts is the maximum number of receipts in the state file.
	MaxReceipts int `toml:"receipts"`
	// ReceiptRetention is the time until a receipt expires. It must exceed the time over which any
	// sender retries.
	ReceiptRetention duration `toml:"keep"`
	// InitialBackoff is the wait before the second delivery attempt of a notification. It doubles
	// with each further attempt, up to MaxBackoff.
	InitialBackoff duration `toml:"retry"`
	MaxBackoff     duration `toml:"retry_max"`
	// MaxTotalBackoff is the sum of the waits between attempts beyond which a notification is
	// abandoned.
	MaxTotalBackoff duration `toml:"give_up"`
	SPIFFE          struct {
		SVID   string `toml:"svid"` // PEM files
		Key    string `toml:"key"`
		Bundle string `toml:"bundle"`
	} `toml:"spiffe"`
	Operators []Operator `toml:"operator"`
}

// Operator is a party that sends or receives webhooks.
type Operator struct {
	Name      string `toml:"name"`
	Tenant    string `toml:"tenant"`
	SPIFFEID  string `toml:"spiffe_id"` // identity that the operator must present under mTLS
	KeysFile  string `toml:"keys_file"` // one whsec_ secret per line, the newest first
	NotifyURL string `toml:"notify"`    // URL that receives notifications; empty: none

	id   spiffeid.ID
	keys []*standardwebhooks.Webhook
}

// duration is a time.Duration in the text form of time.ParseDuration.
type duration struct{ time.Duration }

// UnmarshalText parses a duration such as "1.5s".
func (d *duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// ReadOptions reads and validates an options file. Relative paths in it are resolved against its
// directory.
func ReadOptions(path string) (*Options, error) {
	options := &Options{}
	meta, err := toml.DecodeFile(path, options)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	if err := options.Resolve(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return options, nil
}

// Resolve validates options that were decoded elsewhere and applies the defaults. Relative paths in
// them are resolved against the directory of path, the file that they were decoded from.
func (o *Options) Resolve(path string) error {
	for _, p := range []*string{&o.State, &o.SPIFFE.SVID, &o.SPIFFE.Key, &o.SPIFFE.Bundle} {
		*p = resolvePath(path, *p)
	}
	for i := range o.Operators {
		o.Operators[i].KeysFile = resolvePath(path, o.Operators[i].KeysFile)
	}
	return o.applyDefaults()
}

// resolvePath resolves a relative path against the directory of file. An empty path stays empty.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// applyDefaults sets the omitted options to their defaults and validates the result.
func (o *Options) applyDefaults() error {
	for _, setting := range []struct {
		value        *duration
		defaultValue time.Duration
	}{
		{&o.ReceiptRetention, defaultReceiptRetention},
		{&o.InitialBackoff, defaultInitialBackoff},
		{&o.MaxBackoff, defaultMaxBackoff},
		{&o.MaxTotalBackoff, defaultMaxTotalBackoff},
	} {
		if setting.value.Duration == 0 {
			setting.value.Duration = setting.defaultValue
		}
		if setting.value.Duration < 0 {
			return errors.New("keep, retry, retry_max and give_up must not be negative")
		}
	}
	if o.MaxReceipts == 0 {
		o.MaxReceipts = defaultMaxReceipts
	}
	if o.ReceiptRetention.Duration < 2*Tolerance {
		return fmt.Errorf("keep: must be at least %v, or messages could be replayed after receipts expire", 2*Tolerance)
	}
	if len(o.Operators) == 0 {
		return errors.New("no operator is configured")
	}
	return nil
}
