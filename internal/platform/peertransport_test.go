package platform

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newPeerTransport returns the transport of the dispatcher with the given index.
func newPeerTransport(t *testing.T, index int) *PeerTransport {
	t.Helper()
	settings := testSettings(t)
	settings.Number = index
	transport, err := ListenPeers(&Config{PeerListen: "127.0.0.1:0", Settings: settings}, discardLog)
	require.NoError(t, err)
	return transport
}

// Messages of at most 256 bytes from a peer's address are delivered; longer ones and those from
// other addresses are not.
func TestMessagesGoToKnownPeersOnly(t *testing.T) {
	sender, receiver, nonPeer := newPeerTransport(t, 0), newPeerTransport(t, 1), newPeerTransport(t, 2)
	addr := func(p *PeerTransport) netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
	for _, transport := range []*PeerTransport{sender, receiver, nonPeer} {
		transport.peers = []netip.AddrPort{addr(sender), addr(receiver)}
	}
	receiver.indexByAddr = map[netip.AddrPort]int{addr(sender): 0, addr(receiver): 1}
	nonPeer.SendMessage(1, "who")
	sender.SendMessage(1, strings.Repeat("x", 257))
	sender.SendMessage(-1, "hello")
	ctx, stop := context.WithCancel(t.Context())
	for _, transport := range []*PeerTransport{sender, nonPeer} {
		go func() { _ = transport.Listen(ctx, func(int, string) {}) }()
	}
	var got []string
	_ = receiver.Listen(ctx, func(from int, data string) { got = append(got, fmt.Sprint(from, data)); stop() })
	assert.Equal(t, []string{"0hello"}, got)
}

// Datagrams that are too long or come from an address of no peer are dropped and counted. Others
// arrive unchanged.
func TestInvalidDatagramsAreCounted(t *testing.T) {
	transport := newPeerTransport(t, 1)
	dial := func() *net.UDPConn {
		conn, err := net.DialUDP("udp", nil, transport.conn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	peer, nonPeer := dial(), dial()
	transport.indexByAddr = map[netip.AddrPort]int{peer.LocalAddr().(*net.UDPAddr).AddrPort(): 0}
	for _, message := range []struct {
		from *net.UDPConn
		data string
	}{
		{nonPeer, "AAAA"},
		{peer, strings.Repeat("x", 257)},
		{peer, strings.Repeat("x", 9000)},
		{peer, ""},
		{nonPeer, ""},
		{peer, "last"},
	} {
		_, err := message.from.Write([]byte(message.data))
		require.NoError(t, err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var got []string
	_ = transport.Listen(ctx, func(from int, data string) {
		assert.Zero(t, from)
		if got = append(got, data); data == "last" {
			stop()
		}
	})
	assert.Equal(t, []string{"", "last"}, got)
	unknownSender, oversized := transport.Dropped()
	assert.Equal(t, [2]int64{2, 2}, [2]int64{unknownSender, oversized})
}
