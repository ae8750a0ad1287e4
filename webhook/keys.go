// Package webhook is the front for signed webhooks, in and out, after the Standard Webhooks scheme.
//
// This file owns operators and their keys: who may sign, for which tenant, and how a message is verified and
// signed. It must never tell a caller why a signature was refused, nor log a key.
package webhook

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
)

// Tolerance is how far a message's time may lie from ours, by the scheme.
const Tolerance = 5 * time.Minute

var errInvalidSignature = errors.New("no known key made this signature")

// Options are the operator's file: what the webhook front is set up with.
type Options struct {
	Listen   string   `toml:"listen"`
	State    string   `toml:"state"`    // receipts and notices; needed for classes that must not run twice
	Classes  []string `toml:"classes"`  // that webhooks may ask for; empty: all
	Notify   []string `toml:"notify"`   // classes whose settlements are told outward
	Receipts int      `toml:"receipts"` // how many are held at the most
	Keep     duration `toml:"keep"`     // how long each: longer than any sender retries
	Retry    duration `toml:"retry"`    // wait before a notice's second delivery; it doubles from there
	RetryMax duration `toml:"retry_max"`
	GiveUp   duration `toml:"give_up"` // after this a notice is put aside
	SPIFFE   struct {
		SVID   string `toml:"svid"` // PEM files
		Key    string `toml:"key"`
		Bundle string `toml:"bundle"`
	} `toml:"spiffe"`
	Operators []Operator `toml:"operator"`
}

// Operator is one party that sends or receives webhooks.
type Operator struct {
	Name     string `toml:"name"`
	Tenant   string `toml:"tenant"`
	SPIFFEID string `toml:"spiffe_id"` // under mTLS, it must come as this
	KeysFile string `toml:"keys_file"` // one whsec_ secret a line, the newest first
	Notify   string `toml:"notify"`    // URL for settlements; empty: none

	id   spiffeid.ID
	keys []*standardwebhooks.Webhook
}

type duration struct{ time.Duration }

func (s *duration) UnmarshalText(b []byte) (err error) {
	s.Duration, err = time.ParseDuration(string(b))
	return err
}

const (
	defaultReceipts = 1_000_000
	defaultKeep     = 7 * 24 * time.Hour // the scheme's own schedule of retries ends after about three days
	defaultRetry    = 5 * time.Second
	defaultRetryMax = time.Hour
	defaultGiveUp   = 3 * 24 * time.Hour
)

// ReadOptions reads an operator's file. Relative paths in it start at its folder.
func ReadOptions(path string) (*Options, error) {
	o := &Options{}
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, left[0])
	}
	if err := o.Resolve(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// Resolve checks options that were decoded elsewhere and sets what was left out. Relative paths in them start at the
// folder of the file that they come from.
func (o *Options) Resolve(path string) error {
	for _, p := range []*string{&o.State, &o.SPIFFE.SVID, &o.SPIFFE.Key, &o.SPIFFE.Bundle} {
		*p = resolvePath(path, *p)
	}
	for i := range o.Operators {
		o.Operators[i].KeysFile = resolvePath(path, o.Operators[i].KeysFile)
	}
	return o.applyDefaults()
}

func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// applyDefaults checks options and sets what was left out.
func (o *Options) applyDefaults() error {
	for _, d := range []struct {
		s    *duration
		than time.Duration
	}{{&o.Keep, defaultKeep}, {&o.Retry, defaultRetry}, {&o.RetryMax, defaultRetryMax}, {&o.GiveUp, defaultGiveUp}} {
		if d.s.Duration == 0 {
			d.s.Duration = d.than
		}
		if d.s.Duration < 0 {
			return errors.New("a time is below 0")
		}
	}
	if o.Receipts == 0 {
		o.Receipts = defaultReceipts
	}
	if o.Keep.Duration < 2*Tolerance {
		return fmt.Errorf("keep: must be %v at least, or a replayed message would outlive its receipt", 2*Tolerance)
	}
	if len(o.Operators) == 0 {
		return errors.New("no operator is set up")
	}
	return nil
}

// KeySet is the operators with the keys in force. Reload may be called while messages flow.
type KeySet struct {
	current    atomic.Pointer[[]Operator]
	configured []Operator
	log        *slog.Logger
}

// NewKeySet reads every operator's keys.
func NewKeySet(ops []Operator, log *slog.Logger) (*KeySet, error) {
	r := &KeySet{configured: ops, log: log}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the keys again. An error leaves the keys in force as they are.
func (r *KeySet) Reload() (changed bool, err error) {
	made := make([]Operator, 0, len(r.configured))
	for _, op := range r.configured {
		if op.SPIFFEID != "" {
			if op.id, err = spiffeid.FromString(op.SPIFFEID); err != nil {
				return false, fmt.Errorf("operator %s: spiffe_id: %w", op.Name, err)
			}
		}
		raw, err := os.ReadFile(op.KeysFile)
		if err != nil {
			return false, fmt.Errorf("operator %s: keys_file: %w", op.Name, err)
		}
		for i, line := range strings.Split(string(raw), "\n") {
			if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
				continue
			}
			key, err := standardwebhooks.NewWebhook(line)
			if err != nil || len(line) < 32 {
				return false, fmt.Errorf("operator %s: keys_file: line %d is no key of 24 bytes or more", op.Name, i+1)
			}
			op.keys = append(op.keys, key)
		}
		if len(op.keys) == 0 {
			return false, fmt.Errorf("operator %s: keys_file: holds no key", op.Name)
		}
		made = append(made, op)
	}
	old := r.current.Swap(&made)
	return old == nil || !equalKeys(*old, made), nil
}

func equalKeys(a, b []Operator) bool {
	for i := range b {
		if len(a[i].keys) != len(b[i].keys) {
			return false
		}
		for j, k := range b[i].keys {
			x, _ := k.Sign("", time.Unix(0, 0), nil)
			if y, _ := a[i].keys[j].Sign("", time.Unix(0, 0), nil); x != y {
				return false
			}
		}
	}
	return true
}

// Watch reloads the keys at every tick, and logs what came of it, until ctx ends.
func (r *KeySet) Watch(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		switch changed, err := r.Reload(); {
		case err != nil:
			r.log.Error("webhook keys not reloaded, the old ones stay", "err", err)
		case changed:
			r.log.Info("webhook keys reloaded")
		}
	}
}

func (r *KeySet) operators() []Operator { return *r.current.Load() }

// verifiedMessage is a verified webhook.
type verifiedMessage struct {
	id        string
	timestamp time.Time
	operator  Operator
	body      []byte
}

// verify finds whose key signed a message. Several signatures may stand in the header; one good one will do.
func (r *KeySet) verify(h http.Header, body []byte) (verifiedMessage, error) {
	m := verifiedMessage{id: h.Get(standardwebhooks.HeaderWebhookID), body: body}
	sec, err := strconv.ParseInt(h.Get(standardwebhooks.HeaderWebhookTimestamp), 10, 64)
	if err != nil || m.id == "" || len(m.id) > 256 || strings.ContainsRune(m.id, '.') {
		return m, errInvalidSignature
	}
	m.timestamp = time.Unix(sec, 0)
	for _, op := range r.operators() {
		for _, key := range op.keys {
			if key.Verify(body, h) == nil {
				m.operator = op
				return m, nil
			}
		}
	}
	return m, errInvalidSignature
}

// sign makes the headers of a message, with a signature for every key in force: during a rotation the receiver
// may know either.
func (r *KeySet) sign(operator, id string, at time.Time, body []byte) (http.Header, Operator, error) {
	for _, op := range r.operators() {
		if op.Name != operator {
			continue
		}
		var all bytes.Buffer
		for i, key := range op.keys {
			if i > 0 {
				all.WriteByte(' ')
			}
			s, err := key.Sign(id, at, body)
			if err != nil {
				return nil, op, err
			}
			all.WriteString(s)
		}
		h := http.Header{}
		h.Set(standardwebhooks.HeaderWebhookID, id)
		h.Set(standardwebhooks.HeaderWebhookTimestamp, strconv.FormatInt(at.Unix(), 10))
		h.Set(standardwebhooks.HeaderWebhookSignature, all.String())
		return h, op, nil
	}
	return nil, Operator{}, fmt.Errorf("operator %q is not set up", operator)
}
