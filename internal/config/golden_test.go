package config

// This file holds the keys of the operator's file against one that has them all.

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

func everyKey(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	return string(raw)
}

// Every key sets what it set in an earlier build.
func TestEveryKeyIsRead(t *testing.T) {
	hooks := webhook.Options{Listen: "127.0.0.1:8443", State: "etc/state/webhooks.db",
		Classes: []string{"path-check", "path-book"}, NotifiedClasses: []string{"path-book"}, MaxReceipts: 5000,
		Operators: []webhook.Operator{
			{Name: "ironbridge", Tenant: "ironbridge-haul", SPIFFEID: "spiffe://ironbridge.example/hooks",
				KeysFile: "etc/keys/ironbridge", NotifyURL: "https://ironbridge.example/settled"},
			{Name: "soar", Tenant: "soar-freight", SPIFFEID: "spiffe://soar.example/hooks",
				KeysFile: "/etc/oakthread/soar", NotifyURL: "https://soar.example/settled"},
		}}
	hooks.ReceiptRetention.Duration, hooks.InitialBackoff.Duration = 100*time.Hour, 6*time.Second
	hooks.MaxBackoff.Duration, hooks.MaxTotalBackoff.Duration = 2*time.Hour, 50*time.Hour
	hooks.SPIFFE.SVID, hooks.SPIFFE.Bundle = "etc/ids/svid.pem", "etc/ids/bundle.pem"
	hooks.SPIFFE.Key = "/etc/oakthread/key.pem"
	f, err := Parse("etc/op.toml", everyKey(t))
	require.NoError(t, err)
	assert.Equal(t, &File{
		Path: "etc/op.toml",
		Log:  Log{Format: "json", Level: "warn"},
		List: &List{Path: "etc/state/list.db", Discovery: []string{"127.0.0.1:7001", "[::1]:7002"}, Siblings: 30,
			Budget: 0.36, ProbeRate: 300.5, MaxWait: Span{1500 * time.Millisecond}},
		HTTP2:    &HTTP2{Listen: "127.0.0.1:9095", Connections: 65, Streams: 251},
		Webhooks: &hooks,
	}, f)
}

// keysOf adds the keys that a struct is decoded from, as its tags name them.
func keysOf(t *testing.T, of reflect.Type, section string, keys map[string]bool) {
	t.Helper()
	for i := range of.NumField() {
		f := of.Field(i)
		tag := f.Tag.Get("toml")
		if !f.IsExported() || tag == "-" {
			continue
		}
		if !assert.NotEmpty(t, tag, "%s.%s has no key", of, f.Name) {
			continue
		}
		key := section + tag
		keys[key] = true
		in := f.Type
		for in.Kind() == reflect.Pointer || in.Kind() == reflect.Slice {
			in = in.Elem()
		}
		if in.Kind() == reflect.Struct && !reflect.PointerTo(in).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			keysOf(t, in, key+".", keys)
		}
	}
}

// The structs have the keys of the file that names them all: none more, none fewer.
func TestEveryKeyIsNamed(t *testing.T) {
	want, named := map[string]bool{}, map[string]bool{}
	keysOf(t, reflect.TypeFor[File](), "", want)
	meta, err := toml.Decode(everyKey(t), &map[string]any{})
	require.NoError(t, err)
	for _, key := range meta.Keys() {
		named[key.String()] = true
	}
	assert.Equal(t, want, named)
}
