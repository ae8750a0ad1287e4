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

// Guards the rules on datagrams: 256 bytes at most, from known peers alone, known by their address.
func TestDatagrams(t *testing.T) {
	open := func(n int) *PeerTransport {
		s := testSettings(t)
		s.Number = n
		p, err := ListenPeers(&Config{PeerListen: "127.0.0.1:0", Setup: s}, discardLog)
		require.NoError(t, err)
		return p
	}
	a, b, stranger := open(0), open(1), open(2)
	addr := func(p *PeerTransport) netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
	for _, p := range []*PeerTransport{a, b, stranger} {
		p.peers = []netip.AddrPort{addr(a), addr(b)}
	}
	b.indexByAddr = map[netip.AddrPort]int{addr(a): 0, addr(b): 1}
	stranger.SendMessage(1, "who")
	a.SendMessage(1, strings.Repeat("x", 257))
	a.SendMessage(-1, "hello")
	ctx, stop := context.WithCancel(t.Context())
	for _, p := range []*PeerTransport{a, stranger} {
		go func() { _ = p.Listen(ctx, func(int, string) {}) }()
	}
	var got []string
	_ = b.Listen(ctx, func(from int, data string) { got = append(got, fmt.Sprint(from, data)); stop() })
	assert.Equal(t, []string{"0hello"}, got)
}

// Guards against bad datagrams: what is too long or comes from nobody's address is dropped and counted, and what is
// handed on arrives byte for byte.
func TestBadDatagramsAreCounted(t *testing.T) {
	s := testSettings(t)
	s.Number = 1
	p, err := ListenPeers(&Config{PeerListen: "127.0.0.1:0", Setup: s}, discardLog)
	require.NoError(t, err)
	dial := func() *net.UDPConn {
		c, err := net.DialUDP("udp", nil, p.conn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger := dial(), dial()
	p.indexByAddr = map[netip.AddrPort]int{peer.LocalAddr().(*net.UDPAddr).AddrPort(): 0}
	for _, x := range []struct {
		from *net.UDPConn
		data string
	}{{stranger, "AAAA"}, {peer, strings.Repeat("x", 257)}, {peer, strings.Repeat("x", 9000)}, {peer, ""}, {stranger, ""}, {peer, "last"}} {
		_, err := x.from.Write([]byte(x.data))
		require.NoError(t, err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var got []string
	_ = p.Listen(ctx, func(from int, data string) {
		if got = append(got, data); data == "last" {
			stop()
		}
	})
	assert.Equal(t, []string{"", "last"}, got)
	strangers, long := p.Dropped()
	assert.Equal(t, [2]int64{2, 2}, [2]int64{strangers, long})
}
