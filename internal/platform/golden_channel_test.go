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

func TestChannelRequestMatchesGoldenFile(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	asked := make(chan []byte, 1)
	go func() {
		defer close(asked)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var raw bytes.Buffer
		rd := bufio.NewReader(io.TeeReader(c, &raw))
		_, _ = rd.ReadString('\n')
		_, _ = io.WriteString(c, "41\n")
		_, _ = io.Copy(io.Discard, rd) // whatever else is asked, up to the end
		asked <- raw.Bytes()
	}()
	ctx, stop := context.WithCancel(t.Context())
	told, done := make(eventRecorder, 8), make(chan error, 1)
	c := NewChannel(&Config{Channel: ln.Addr().String(), Cursor: 41, Setup: testSettings(t)}, discardLog)
	go func() { done <- c.Follow(ctx, told) }()
	assert.Equal(t, "current", <-told)
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	matchGolden(t, "channel-request", <-asked)
}

func TestEventLinesAreRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/events.txt")
	require.NoError(t, err)
	of := func(k balancer.EndpointUpdateKind, ms ...oakthread.Endpoint) oakthread.EndpointUpdate {
		return oakthread.EndpointUpdate{Kind: k, Endpoints: ms}
	}
	want := []struct {
		event Event
		odd   string
		bad   string
	}{
		{event: Event{Cursor: 41, Heartbeat: true}},
		{event: Event{Cursor: 42, Epoch: "e7", HasUpdate: true, Roster: of(balancer.EndpointsSnapshot,
			oakthread.Endpoint{
				ID: 0xc41f7a, Addr: "127.0.0.1:4001", Zone: 1, Cell: 2, State: balancer.Active, Weight: 4,
				Start: time.UnixMilli(1500),
			},
			oakthread.Endpoint{
				ID: WorkerID("box nine"), Addr: "[::1]:4002", Zone: 2, Kind: 1, Cell: 3,
				State: balancer.Draining, Weight: 0.5,
			})}},
		{event: Event{Cursor: 43, HasUpdate: true, Roster: of(balancer.EndpointsDelta, oakthread.Endpoint{
			ID:   0xc41f7a,
			Zone: 2, Kind: 1, State: balancer.Removed,
		})}},
		{
			event: Event{Cursor: 44, HasUpdate: true, Roster: of(balancer.EndpointsDelta, oakthread.Endpoint{
				ID:   2,
				Addr: "127.0.0.1:4003", Zone: 2, Kind: 1, State: balancer.Draining, Weight: 1,
			})},
			odd: `members[0]: phase "Cordoned" of "s-00000002" is not known`,
		},
		{
			event: Event{Cursor: 45, HasUpdate: true, Roster: of(balancer.EndpointsDelta)},
			odd: "members[0]: field id is missing\n" +
				`members[1]: host_port "nowhere" of "s-00000003": not an ip:port`,
		},
		{event: Event{Cursor: 46, Roster: of(balancer.EndpointsDelta)}},
		{event: Event{Cursor: 47, Epoch: "e8", Roster: of(balancer.EndpointsDelta)}},
		{bad: "field cursor is missing"},
		{bad: "field cursor is missing"},
		{bad: "cannot unmarshal number"},
		{bad: "invalid character"},
	}
	lines := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	require.Len(t, lines, len(want))
	for i, w := range want {
		got, err := parseEvent([]byte(lines[i]), testSettings(t))
		if w.bad != "" {
			assert.ErrorContains(t, err, w.bad, lines[i])
			continue
		}
		require.NoError(t, err, lines[i])
		if err := errors.Join(got.Invalid...); err != nil || w.odd != "" {
			assert.EqualError(t, err, w.odd, lines[i])
		}
		got.Invalid = nil
		assert.Equal(t, w.event, got, lines[i])
	}
	assert.Equal(t, balancer.WorkerID(0xf4092e46), WorkerID("box nine"), "the hash of an id that holds no number")
}

func TestDatagramsMatchGoldenFile(t *testing.T) {
	const data = "w1 \x00\xff\n"
	stand := func() (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	one, oneAddr := stand()
	two, twoAddr := stand()
	group, groupAddr := stand()
	stranger, _ := stand()
	var raw strings.Builder
	read := func(what string, c *net.UDPConn) {
		buf := make([]byte, 1<<10)
		n, _, err := c.ReadFromUDPAddrPort(buf)
		require.NoError(t, err, what)
		fmt.Fprintf(&raw, "%s: %q\n", what, buf[:n])
	}
	open := func(all netip.AddrPort) (*PeerTransport, chan string) {
		p, err := ListenPeers(&Config{
			PeerListen: "127.0.0.1:0", PeersAll: all, Setup: testSettings(t),
			Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9"), oneAddr, twoAddr},
		}, discardLog)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		heard, done := make(chan string, 8), make(chan error, 1)
		go func() {
			done <- p.Listen(ctx, func(from int, data string) { heard <- fmt.Sprintf("from %d: %q", from, data) })
		}()
		t.Cleanup(func() { stop(); <-done })
		return p, heard
	}
	p, heard := open(netip.AddrPort{})
	p.SendMessage(1, data+"one")
	p.SendMessage(-1, data+"all")
	read("to peer 1", one)
	read("to all, at peer 1", one)
	read("to all, at peer 2", two)
	for _, c := range []*net.UDPConn{stranger, two} {
		_, err := c.WriteToUDP([]byte(data), p.conn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
	}
	fmt.Fprintln(&raw, "read", <-heard)
	strangers, _ := p.Dropped()
	assert.Equal(t, int64(1), strangers)
	q, _ := open(groupAddr)
	q.SendMessage(-1, data+"all")
	q.SendMessage(2, data+"two")
	read("to all, at the group", group)
	read("to peer 2", two)
	matchGolden(t, "datagrams", []byte(raw.String()))
}
