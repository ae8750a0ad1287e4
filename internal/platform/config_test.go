package platform

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// A configuration and its events are parsed; an invalid value is an error.
func TestParseConfigAndEvents(t *testing.T) {
	valid := `{"name":"n3","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","peers":["127.0.0.1:2"],
		"channel":"127.0.0.1:3","known":{"cursor":3,"cmds":[{"cursor":2,"nodes":{"complete":true,"members":[
		{"id":"s-00c41f7a","host_port":"127.0.0.1:4","locality":"south-room","flavor":"std-2core","cell":2,
		"phase":"Ready","size":4,"up_since_ms":5}]}}]},"settings":` + settingsText + `}`
	config, err := parseConfig([]byte(valid))
	require.NoError(t, err)
	assert.Equal(t, int64(3), config.Cursor)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), config.Seed)
	assert.Equal(t, oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{
		ID: 0xc41f7a, Addr: "127.0.0.1:4",
		Zone: 1, Cell: 2, State: balancer.Active, Weight: 4, Start: time.UnixMilli(5),
	}}}, config.InitialEvents[0].Update)
	for old, invalid := range map[string]string{
		`"8c1f`: `"xx`, `"127.0.0.1:2"`: `"nowhere"`, `"127.0.0.1:3"`: `"x"`,
		`"Ready"`: `"Odd"`, `"127.0.0.1:4"`: `""`, `"settings"`: `"unset"`, `"s-00c41f7a"`: `""`, `{"cursor":2,`: `{`,
	} {
		_, err := parseConfig([]byte(strings.Replace(valid, old, invalid, 1)))
		assert.Error(t, err, invalid)
	}
	for line, want := range map[string]Event{
		"41":                    {Cursor: 41, Heartbeat: true},
		`{"cursor":4,"new":{}}`: {Cursor: 4, Update: oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta}},
	} {
		event, err := parseEvent([]byte(line), config.Settings)
		require.NoError(t, err, line)
		assert.Equal(t, want, event)
	}
}
