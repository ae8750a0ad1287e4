package webhook

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
)

const (
	// minKeyLineLength is the base64 length of a secret of 24 bytes, the minimum of the
	// specification. The whsec_ prefix counts towards it, so with the prefix secrets of 19 bytes or
	// more are accepted.
	minKeyLineLength = 32

	maxMessageIDLength = 256 // in bytes; bounds the length of keys in the state file
)

// errInvalidSignature is returned for every message that cannot be authenticated. It does not say
// why, so that a caller learns nothing about the keys.
var errInvalidSignature = errors.New("invalid message id, timestamp or signature")

// KeySet holds the operators with their current keys. It is safe for concurrent use; Reload may run
// while messages are being verified and signed.
type KeySet struct {
	current    atomic.Pointer[[]Operator]
	configured []Operator
	log        *slog.Logger
}

// NewKeySet reads the keys of every operator. It returns an error if an operator's SPIFFE ID is
// invalid or its key file is unreadable, malformed or empty.
func NewKeySet(operators []Operator, log *slog.Logger) (*KeySet, error) {
	k := &KeySet{configured: operators, log: log}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the keys again and reports whether they changed. On an error the current keys stay
// in use.
func (k *KeySet) Reload() (changed bool, err error) {
	operators := make([]Operator, 0, len(k.configured))
	for _, operator := range k.configured {
		if operator.SPIFFEID != "" {
			if operator.id, err = spiffeid.FromString(operator.SPIFFEID); err != nil {
				return false, fmt.Errorf("operator %s: spiffe_id: %w", operator.Name, err)
			}
		}
		if operator.keys, err = readKeys(operator.KeysFile); err != nil {
			return false, fmt.Errorf("operator %s: keys_file: %w", operator.Name, err)
		}
		operators = append(operators, operator)
	}
	previous := k.current.Swap(&operators)
	return previous == nil || !equalKeys(*previous, operators), nil
}

// readKeys reads a file of base64 secrets, one per line, each with or without the whsec_ prefix.
// Blank lines and lines that begin with # are skipped.
func readKeys(path string) ([]*standardwebhooks.Webhook, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys []*standardwebhooks.Webhook
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		// The library's error is not wrapped: it may quote the secret.
		key, err := standardwebhooks.NewWebhook(line)
		if err != nil || len(line) < minKeyLineLength {
			return nil, fmt.Errorf("line %d: want a base64 secret of at least 24 bytes", i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, errors.New("file contains no secrets")
	}
	return keys, nil
}

// equalKeys reports whether the keys of all operators are the same in previous and current, which
// list the same operators in the same order. The library does not expose a key, so signatures of an
// empty message are compared.
func equalKeys(previous, current []Operator) bool {
	for i := range current {
		if len(previous[i].keys) != len(current[i].keys) {
			return false
		}
		for j, key := range current[i].keys {
			currentSignature, _ := key.Sign("", time.Unix(0, 0), nil)
			previousSignature, _ := previous[i].keys[j].Sign("", time.Unix(0, 0), nil)
			if currentSignature != previousSignature {
				return false
			}
		}
	}
	return true
}

// Watch reloads the keys at every tick until ctx is done, and logs changes and errors.
func (k *KeySet) Watch(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		switch changed, err := k.Reload(); {
		case err != nil:
			k.log.Error("webhook key reload failed", "error", err)
		case changed:
			k.log.Info("webhook keys reloaded")
		}
	}
}

// operators returns the operators with their current keys.
func (k *KeySet) operators() []Operator { return *k.current.Load() }

// verifiedMessage is a message whose signature was verified.
type verifiedMessage struct {
	id        string
	timestamp time.Time
	operator  Operator
	body      []byte
}

// verify authenticates a message and finds the operator whose key signed it. The signature header
// may hold several signatures; one valid signature is sufficient. The error is errInvalidSignature.
func (k *KeySet) verify(header http.Header, body []byte) (verifiedMessage, error) {
	msg := verifiedMessage{id: header.Get(standardwebhooks.HeaderWebhookID), body: body}
	seconds, err := strconv.ParseInt(header.Get(standardwebhooks.HeaderWebhookTimestamp), 10, 64)
	if err != nil {
		return msg, errInvalidSignature
	}
	// The signed content is id, timestamp and body joined by dots, so an id that contains a dot
	// would be ambiguous.
	if msg.id == "" || len(msg.id) > maxMessageIDLength || strings.ContainsRune(msg.id, '.') {
		return msg, errInvalidSignature
	}
	msg.timestamp = time.Unix(seconds, 0)
	for _, operator := range k.operators() {
		for _, key := range operator.keys {
			if key.Verify(body, header) == nil {
				msg.operator = operator
				return msg, nil
			}
		}
	}
	return msg, errInvalidSignature
}

// sign returns the headers of an outbound message and the operator that it is sent to. The message
// is signed with every current key, because during a rotation the operator may know only one of
// them.
func (k *KeySet) sign(name, id string, timestamp time.Time, body []byte) (http.Header, Operator, error) {
	for _, operator := range k.operators() {
		if operator.Name != name {
			continue
		}
		signatures := make([]string, 0, len(operator.keys))
		for _, key := range operator.keys {
			signature, err := key.Sign(id, timestamp, body)
			if err != nil {
				return nil, operator, err
			}
			signatures = append(signatures, signature)
		}
		header := http.Header{}
		header.Set(standardwebhooks.HeaderWebhookID, id)
		header.Set(standardwebhooks.HeaderWebhookTimestamp, strconv.FormatInt(timestamp.Unix(), 10))
		header.Set(standardwebhooks.HeaderWebhookSignature, strings.Join(signatures, " "))
		return header, operator, nil
	}
	return nil, Operator{}, fmt.Errorf("operator %q is not configured", name)
}
