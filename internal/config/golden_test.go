package config

import (
	"encoding"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/webhook"
)

// everyKey returns the text of a configuration file that has every key.
func everyKey(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	return string(raw)
}

// Every key sets the same field as in an earlier build.
func TestEveryKeySetsItsField(t *testing.T) {
	webhooks := webhook.Options{
		Listen: "127.0.0.1:8443", State: "etc/state/webhooks.db",
		Classes: []string{"path-check", "path-book"}, NotifiedClasses: []string{"path-book"}, MaxReceipts: 5000,
		Operators: []webhook.Operator{
			{
				Name: "ironbridge", Tenant: "ironbridge-haul", SPIFFEID: "spiffe://ironbridge.example/hooks",
				KeysFile: "etc/keys/ironbridge", NotifyURL: "https://ironbridge.example/settled",
			},
			{
				Name: "soar", Tenant: "soar-freight", SPIFFEID: "spiffe://soar.example/hooks",
				KeysFile: "/etc/oakthread/soar", NotifyURL: "https://soar.example/settled",
			},
		},
	}
	webhooks.ReceiptRetention.Duration, webhooks.InitialBackoff.Duration = 100*time.Hour, 6*time.Second
	webhooks.MaxBackoff.Duration, webhooks.MaxTotalBackoff.Duration = 2*time.Hour, 50*time.Hour
	webhooks.SPIFFE.SVID, webhooks.SPIFFE.Bundle = "etc/ids/svid.pem", "etc/ids/bundle.pem"
	webhooks.SPIFFE.Key = "/etc/oakthread/key.pem"
	f, err := Parse("etc/op.toml", everyKey(t))
	require.NoError(t, err)
	assert.Equal(t, &File{
		Path: "etc/op.toml",
		Log:  Log{Format: "json", Level: "warn"},
		EndpointCache: &EndpointCache{
			Path: "etc/state/list.db", Discovery: []string{"127.0.0.1:7001", "[::1]:7002"},
			Dispatchers: 30, InitialLoadFraction: 0.36, HealthCheckRate: 300.5,
			MaxRetryAfter: Duration{1500 * time.Millisecond},
		},
		HTTP2:    &HTTP2{Listen: "127.0.0.1:9095", MaxConns: 65, MaxStreams: 251},
		Webhooks: &webhooks,
	}, f)
}

// keysOf adds the keys that a struct is decoded from to keys, according to its tags.
func keysOf(t *testing.T, of reflect.Type, section string, keys map[string]bool) {
	t.Helper()
	for i := range of.NumField() {
		field := of.Field(i)
		tag := field.Tag.Get("toml")
		if !field.IsExported() || tag == "-" {
			continue
		}
		if !assert.NotEmpty(t, tag, "%s.%s has no key", of, field.Name) {
			continue
		}
		key := section + tag
		keys[key] = true
		in := field.Type
		for in.Kind() == reflect.Pointer || in.Kind() == reflect.Slice {
			in = in.Elem()
		}
		isText := reflect.PointerTo(in).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
		if in.Kind() == reflect.Struct && !isText {
			keysOf(t, in, key+".", keys)
		}
	}
}

// The structs have exactly the keys that the golden file has.
func TestStructsHaveExactlyTheGoldenKeys(t *testing.T) {
	want, named := map[string]bool{}, map[string]bool{}
	keysOf(t, reflect.TypeFor[File](), "", want)
	meta, err := toml.Decode(everyKey(t), &map[string]any{})
	require.NoError(t, err)
	for _, key := range meta.Keys() {
		named[key.String()] = true
	}
	assert.Equal(t, want, named)
}
