package platform

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/internal/wire"
)

// settingsText is the settings object of the tests: path-check calls may run twice, path-book calls
// must not.
const settingsText = `{"categories":[
{"name":"path-check","aim_ns":400000000,"give_up_ns":5000000000,"credit":1,"idempotency":"read_like"},
{"name":"path-book","aim_ns":750000000,"give_up_ns":4000000000,"credit":5,"idempotency":"non_idempotent"}],
"customers":[{"name":"ironbridge-haul","allowance_per_s":25}],"feedback":{"fields":["waiting","cpu"],"how":"inline"},
"kinds":["std-2core"],"zones":["north-room","south-room"],"my_number":0,"siblings":2,"quantum_ns":4000000,
"permissions":{"send_cap":3,"cancel":true,"peers":true,"connect_timeout_ns":250000000,
"conn_idle_ns":15000000000,"max_retry_after_ns":1500000000},
"specifics":{"linger_idle_ns":8000000000,"on_miss":"load","load_control":true}}`

var discardLog = slog.New(slog.DiscardHandler)

// testSettings returns a new copy of the settings for each call.
func testSettings(t testing.TB) *wire.Settings {
	t.Helper()
	settings, err := wire.ReadSettings([]byte(settingsText))
	require.NoError(t, err)
	return settings
}

// endpointAt returns the endpoint of worker 1 at an address.
func endpointAt(addr string) oakthread.Endpoint {
	return oakthread.Endpoint{ID: 1, Addr: addr, State: balancer.Active, Weight: 1}
}

// attemptTo returns an attempt of a path-book call, whose deadline is in 1 s.
func attemptTo(endpoint oakthread.Endpoint, body string) oakthread.Attempt {
	return oakthread.Attempt{Worker: endpoint, Deadline: time.Now().Add(time.Second), Request: &oakthread.Request{
		ID: "9b1f03aa5c7e2d41", Class: 1, Key: "7F3a9c21e0b4d655", Body: []byte(body),
	}}
}

// canceledContext returns a context that has ended.
func canceledContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// testClasses returns the source of the classes of testSettings.
func testClasses(t testing.TB) *classes.Source {
	t.Helper()
	return classes.NewSource(classes.New(testSettings(t).ClassDefinitions()))
}
