package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// PeerTransport carries messages between dispatchers. It implements oakthread.Peers.
type PeerTransport struct {
	conn        *net.UDPConn
	group       netip.AddrPort
	peers       []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	selfIndex   int
	sendQueue   chan datagram
	log         *slog.Logger

	unknownSender, oversized atomic.Int64
}

type datagram struct {
	address netip.AddrPort
	data    string
}

// ListenPeers opens the socket for messages; nil where the settings allow none.
func ListenPeers(c *Config, log *slog.Logger) (*PeerTransport, error) {
	if !c.Setup.Permissions.Peers || c.PeerListen == "" {
		return nil, nil
	}
	a, err := netip.ParseAddrPort(c.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := ListenPacket(context.Background(), a.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &PeerTransport{
		conn: conn, group: c.PeersAll, peers: c.Peers, indexByAddr: map[netip.AddrPort]int{},
		selfIndex: c.Setup.Number, sendQueue: make(chan datagram, sendQueueLength), log: log,
	}
	for i, a := range c.Peers {
		p.indexByAddr[a] = i
	}
	return p, nil
}

// Dropped counts datagrams that were read and handed to nobody: from addresses that are no peer's, and too long.
func (p *PeerTransport) Dropped() (strangers, long int64) {
	if p == nil { // the settings allow no messages
		return 0, 0
	}
	return p.unknownSender.Load(), p.oversized.Load()
}

// SendMessage hands a datagram to the socket's goroutine; with too many waiting, it is lost, as any may be.
func (p *PeerTransport) SendMessage(to int, data string) {
	if len(data) > maxDatagramBytes {
		p.log.Error("message to peers is too long, not sent", "bytes", len(data))
		return
	}
	switch {
	case to < 0 && p.group.IsValid():
		p.enqueue(p.group, data)
	case to < 0:
		for i, a := range p.peers {
			if i != p.selfIndex {
				p.enqueue(a, data)
			}
		}
	case to < len(p.peers) && to != p.selfIndex:
		p.enqueue(p.peers[to], data)
	}
}

func (p *PeerTransport) enqueue(to netip.AddrPort, data string) {
	select {
	case p.sendQueue <- datagram{to, data}:
	default:
	}
}

func (p *PeerTransport) writeQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.sendQueue:
			if _, err := p.conn.WriteToUDPAddrPort([]byte(d.data), d.address); err != nil {
				p.log.Debug("peer socket", "err", err)
			}
		}
	}
}

// Listen sends what is told and hands on what peers say until ctx ends. A datagram from elsewhere is dropped.
func (p *PeerTransport) Listen(ctx context.Context, heard func(from int, data string)) error {
	go p.writeQueued(ctx)
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			p.log.Debug("peer socket", "err", err) // such as a peer that is down
			select {
			case <-ctx.Done():
			case <-time.After(readErrorPause): // one that lasts must not spin
			}
			continue
		}
		who, known := p.indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !known || who == p.selfIndex:
			p.unknownSender.Add(1)
			continue
		case n > maxDatagramBytes:
			p.oversized.Add(1)
			continue
		}
		heard(who, string(buf[:n]))
	}
}
