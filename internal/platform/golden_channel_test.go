package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// The bytes that a watcher writes on the command channel match the golden file.
func TestChannelRequestMatchesGoldenFile(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	request := make(chan []byte, 1)
	go func() {
		defer close(request)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		var raw bytes.Buffer
		reader := bufio.NewReader(io.TeeReader(conn, &raw))
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, "41\n")
		_, _ = io.Copy(io.Discard, reader) // all further bytes, up to the end of the connection
		request <- raw.Bytes()
	}()
	ctx, stop := context.WithCancel(t.Context())
	events, done := make(eventRecorder, 8), make(chan error, 1)
	config := &Config{Channel: ln.Addr().String(), Cursor: 41, Settings: testSettings(t)}
	watcher := NewEndpointWatcher(config, discardLog)
	go func() { done <- watcher.Follow(ctx, events) }()
	assert.Equal(t, "current", <-events)
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	matchGolden(t, "channel-request", <-request)
}

// Each kind of event line is parsed, and errors of lines and members are reported.
func TestEventLinesAreParsed(t *testing.T) {
	raw, err := os.ReadFile("testdata/events.txt")
	require.NoError(t, err)
	update := func(kind balancer.EndpointUpdateKind, endpoints ...oakthread.Endpoint) oakthread.EndpointUpdate {
		return oakthread.EndpointUpdate{Kind: kind, Endpoints: endpoints}
	}
	want := []struct {
		event       Event
		invalid     string // errors of members
		unparseable string // the error of a line
	}{
		{event: Event{Cursor: 41, Heartbeat: true}},
		{event: Event{Cursor: 42, Epoch: "e7", HasUpdate: true, Update: update(balancer.EndpointsSnapshot,
			oakthread.Endpoint{
				ID: 0xc41f7a, Addr: "127.0.0.1:4001", Zone: 1, Cell: 2, State: balancer.Active, Weight: 4,
				Start: time.UnixMilli(1500),
			},
			oakthread.Endpoint{
				ID: WorkerID("box nine"), Addr: "[::1]:4002", Zone: 2, Kind: 1, Cell: 3,
				State: balancer.Draining, Weight: 0.5,
			})}},
		{event: Event{Cursor: 43, HasUpdate: true, Update: update(balancer.EndpointsDelta, oakthread.Endpoint{
			ID:   0xc41f7a,
			Zone: 2, Kind: 1, State: balancer.Removed,
		})}},
		{
			event: Event{Cursor: 44, HasUpdate: true, Update: update(balancer.EndpointsDelta, oakthread.Endpoint{
				ID:   2,
				Addr: "127.0.0.1:4003", Zone: 2, Kind: 1, State: balancer.Draining, Weight: 1,
			})},
			invalid: `members[0]: phase "Cordoned" of "s-00000002" is not known`,
		},
		{
			event: Event{Cursor: 45, HasUpdate: true, Update: update(balancer.EndpointsDelta)},
			invalid: "members[0]: field id is missing\n" +
				`members[1]: host_port "nowhere" of "s-00000003": not an ip:port`,
		},
		{event: Event{Cursor: 46, Update: update(balancer.EndpointsDelta)}},
		{event: Event{Cursor: 47, Epoch: "e8", Update: update(balancer.EndpointsDelta)}},
		{unparseable: "field cursor is missing"},
		{unparseable: "field cursor is missing"},
		{unparseable: "cannot unmarshal number"},
		{unparseable: "invalid character"},
	}
	lines := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	require.Len(t, lines, len(want))
	for i, w := range want {
		got, err := parseEvent([]byte(lines[i]), testSettings(t))
		if w.unparseable != "" {
			assert.ErrorContains(t, err, w.unparseable, lines[i])
			continue
		}
		require.NoError(t, err, lines[i])
		if err := errors.Join(got.Invalid...); err != nil || w.invalid != "" {
			assert.EqualError(t, err, w.invalid, lines[i])
		}
		got.Invalid = nil
		assert.Equal(t, w.event, got, lines[i])
	}
	assert.Equal(t, balancer.WorkerID(0xf4092e46), WorkerID("box nine"), "the hash of an id that contains no number")
}

// Datagrams to one peer, to each peer and to the group are written and read byte for byte.
func TestDatagramsMatchGoldenFile(t *testing.T) {
	const data = "w1 \x00\xff\n"
	listen := func() (*net.UDPConn, netip.AddrPort) {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	one, oneAddr := listen()
	two, twoAddr := listen()
	group, groupAddr := listen()
	nonPeer, _ := listen()
	var raw strings.Builder
	read := func(name string, conn *net.UDPConn) {
		buffer := make([]byte, 1<<10)
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		require.NoError(t, err, name)
		fmt.Fprintf(&raw, "%s: %q\n", name, buffer[:n])
	}
	open := func(group netip.AddrPort) (*PeerTransport, chan string) {
		transport, err := ListenPeers(&Config{
			PeerListen: "127.0.0.1:0", PeersAll: group, Settings: testSettings(t),
			Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9"), oneAddr, twoAddr},
		}, discardLog)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		received, done := make(chan string, 8), make(chan error, 1)
		handle := func(from int, data string) { received <- fmt.Sprintf("from %d: %q", from, data) }
		go func() { done <- transport.Listen(ctx, handle) }()
		t.Cleanup(func() { stop(); <-done })
		return transport, received
	}
	unicast, received := open(netip.AddrPort{})
	unicast.SendMessage(1, data+"one")
	unicast.SendMessage(-1, data+"all")
	read("to peer 1", one)
	read("to all, at peer 1", one)
	read("to all, at peer 2", two)
	for _, conn := range []*net.UDPConn{nonPeer, two} {
		_, err := conn.WriteToUDP([]byte(data), unicast.conn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
	}
	fmt.Fprintln(&raw, "read", <-received)
	unknownSender, _ := unicast.Dropped()
	assert.Equal(t, int64(1), unknownSender)
	multicast, _ := open(groupAddr)
	multicast.SendMessage(-1, data+"all")
	multicast.SendMessage(2, data+"two")
	read("to all, at the group", group)
	read("to peer 2", two)
	matchGolden(t, "datagrams", []byte(raw.String()))
}
