package platform

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// Every value of the configuration file is read.
func TestConfigurationFileIsReadCompletely(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	settings := &wire.Settings{
		Kinds: []string{"std-2core", "std-4core"}, Number: 1, OverShareWorth: 0.2, Quantum: 501,
		RegistryMode: "on_request", Siblings: 7, Zone: 9, Zones: []string{"north-room", "south-room"},
	}
	settings.Categories = slices.Grow(settings.Categories, 1)[:1]
	category := &settings.Categories[0]
	category.Name, category.Idempotency, category.KeyScope = "path-check", "read_like", "zone"
	category.Aim, category.Credit, category.GiveUp, category.LateWorth, category.Window = 101, 1.02, 103, 1.04, 105
	settings.Customers = slices.Grow(settings.Customers, 1)[:1]
	settings.Customers[0].Name, settings.Customers[0].Allowance = "ironbridge-haul", 25.5
	settings.Feedback.Fields, settings.Feedback.How = []string{"waiting", "cpu"}, "inline"
	permissions, prices := &settings.Permissions, &settings.Prices
	rules, specifics := &settings.Rules, &settings.Specifics
	permissions.Cancel, permissions.MayProbe, permissions.Peers = true, true, true
	permissions.RetryAfter, permissions.SecondCopies = true, true
	permissions.ConnIdle, permissions.ConnectTimeout, permissions.MaxRetryAfter = 301, 302, 303
	permissions.OpenCap, permissions.SendCap = 304, 305
	prices.CrossZone, prices.LateFail, prices.Origin = 4.01, 4.02, 4.03
	prices.Peer, prices.Probe, prices.Waste = 4.04, 4.05, 4.06
	rules.AnswerSlack, rules.AskWithin, rules.Cold, rules.DrainGrace, rules.Fall = 601, 602, 603, 604, 605
	rules.OverloadFactor, rules.StartCapacity = 6.06, 6.07
	specifics.FreeLoads, specifics.IdleMemory, specifics.LingerIdle = 8.01, 8.02, 805
	specifics.KindMemory = []float64{803, 804}
	specifics.LoadPart, specifics.LoadSpan, specifics.OnMiss, specifics.OrderLimit = 8.06, 807, "miss", 808
	specifics.LoadControl, specifics.NotesPeers, specifics.WarmNotes = true, true, true
	want := &Config{
		Name: "router-3", Listen: "127.0.0.1:7001", Seed: 0x8c1f30d27a5be964, Cores: 1.5, Memory: 96 << 20,
		Sockets: 300, PeerListen: "127.0.0.1:7002", PeersAll: netip.MustParseAddrPort("239.1.2.3:7004"),
		Peers:   []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7002"), netip.MustParseAddrPort("[::1]:7003")},
		Channel: "127.0.0.1:7005", Console: "127.0.0.1:7006", Cursor: 5, Settings: settings,
		InitialEvents: []Event{{Cursor: 5, Epoch: "e7", HasUpdate: true, Update: oakthread.EndpointUpdate{
			Kind: balancer.EndpointsSnapshot,
			Endpoints: []oakthread.Endpoint{{
				ID: 0xc41f7a, Addr: "127.0.0.1:4001", Zone: 1, Kind: 1, Cell: 2,
				State: balancer.Active, Weight: 4, Start: time.UnixMilli(1500),
			}},
		}}},
	}
	got, err := parseConfig(raw)
	require.NoError(t, err)
	matchGolden(t, "config-shape", []byte(strings.Join(got.keys, "\n")+"\n"))
	want.keys = got.keys
	require.Equal(t, want, got)
	for key, value := range map[string]*bool{
		"cancel": &permissions.Cancel, "may_probe": &permissions.MayProbe, "peers": &permissions.Peers,
		"retry_after": &permissions.RetryAfter, "second_copies": &permissions.SecondCopies,
		"load_control":        &specifics.LoadControl,
		"notes_peers_in_hand": &specifics.NotesPeers, "warm_notes": &specifics.WarmNotes,
	} { // each on its own: all of them are true above
		got, err := parseConfig(bytes.Replace(raw, []byte(`"`+key+`": true`), []byte(`"`+key+`": false`), 1))
		require.NoError(t, err)
		*value = false
		assert.Equal(t, want, got, key)
		*value = true
	}
}

// TestConfigurationFileHoldsEveryKey compares the keys of the test file with those that the program
// knows: for the settings those of their type, for the rest those of the JSON tags in this
// package's source.
func TestConfigurationFileHoldsEveryKey(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	var file map[string]any
	require.NoError(t, json.Unmarshal(raw, &file))
	settingsKeys := slices.Collect(maps.Keys(keysOf(file["settings"], "")))
	assert.ElementsMatch(t, keysOfType(reflect.TypeFor[wire.Settings](), ""), settingsKeys)
	delete(file, "settings")
	inFile, known := map[string]bool{"settings": true}, map[string]bool{}
	for path := range keysOf(file, "") {
		inFile[path[strings.LastIndex(path, ".")+1:]] = true
	}
	sources, err := filepath.Glob("*.go")
	require.NoError(t, err)
	tag := regexp.MustCompile("`json:\"([^\",]+)")
	for _, name := range sources {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		for _, match := range tag.FindAllSubmatch(text, -1) {
			if !strings.HasSuffix(name, "_test.go") {
				known[string(match[1])] = true
			}
		}
	}
	assert.Equal(t, known, inFile)
}

// keysOf returns the paths of all keys in decoded JSON. The objects of a list share one path.
func keysOf(v any, path string) map[string]bool {
	keys := map[string]bool{}
	switch v := v.(type) {
	case map[string]any:
		for k, inner := range v {
			keys[path+"."+k] = true
			maps.Copy(keys, keysOf(inner, path+"."+k))
		}
	case []any:
		for _, inner := range v {
			maps.Copy(keys, keysOf(inner, path))
		}
	}
	return keys
}

// keysOfType returns the paths of all keys that the JSON form of a type may have.
func keysOfType(typ reflect.Type, path string) (keys []string) {
	if typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return nil
	}
	for field := range typ.Fields() {
		key := path + "." + field.Tag.Get("json")
		keys = append(append(keys, key), keysOfType(field.Type, key)...)
	}
	return keys
}
