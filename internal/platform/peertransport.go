package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDatagramBytes = 256
	// sendQueueLength is how many datagrams may be queued for sending. Further ones are dropped.
	sendQueueLength = 256
	// readErrorPause is the pause after a failed read, so that a persistent error causes no busy
	// loop.
	readErrorPause = 10 * time.Millisecond
)

// PeerTransport exchanges messages with other dispatchers as UDP datagrams of at most
// maxDatagramBytes. It implements oakthread.Peers.
type PeerTransport struct {
	conn        *net.UDPConn
	group       netip.AddrPort // reaches all peers; the zero value: messages to all are sent to each peer
	peers       []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	selfIndex   int
	sendQueue   chan datagram
	log         *slog.Logger

	unknownSender, oversized atomic.Int64 // received datagrams that were dropped
}

// datagram is a message that waits to be sent.
type datagram struct {
	address netip.AddrPort
	data    string
}

// ListenPeers opens the socket for peer messages. It returns nil if the settings permit no peers or
// no address is configured, and an error if the address is invalid or cannot be bound.
func ListenPeers(config *Config, log *slog.Logger) (*PeerTransport, error) {
	if !config.Settings.Permissions.Peers || config.PeerListen == "" {
		return nil, nil
	}
	addr, err := netip.ParseAddrPort(config.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := ListenPacket(context.Background(), addr.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &PeerTransport{
		conn: conn, group: config.PeersAll, peers: config.Peers, indexByAddr: map[netip.AddrPort]int{},
		selfIndex: config.Settings.Number, sendQueue: make(chan datagram, sendQueueLength), log: log,
	}
	for i, peer := range config.Peers {
		p.indexByAddr[peer] = i
	}
	return p, nil
}

// Dropped returns how many received datagrams were dropped because their sender was no other peer,
// and because they were too long. A nil transport has dropped none.
func (p *PeerTransport) Dropped() (unknownSender, oversized int64) {
	if p == nil {
		return 0, 0
	}
	return p.unknownSender.Load(), p.oversized.Load()
}

// SendMessage queues a message for the peer with index to, or for all other peers if to is
// negative. It does not block: messages that are too long or do not fit into the queue are dropped.
func (p *PeerTransport) SendMessage(to int, data string) {
	if len(data) > maxDatagramBytes {
		p.log.Error("peer message too long, dropped", "bytes", len(data))
		return
	}
	switch {
	case to < 0 && p.group.IsValid():
		p.enqueue(p.group, data)
	case to < 0:
		for i, peer := range p.peers {
			if i != p.selfIndex {
				p.enqueue(peer, data)
			}
		}
	case to < len(p.peers) && to != p.selfIndex:
		p.enqueue(p.peers[to], data)
	}
}

// enqueue queues a datagram, or drops it if the queue is full.
func (p *PeerTransport) enqueue(to netip.AddrPort, data string) {
	select {
	case p.sendQueue <- datagram{to, data}:
	default:
	}
}

// Listen sends queued messages and passes those received from peers to handle until ctx ends. Then
// it closes the socket and returns the error of ctx. Datagrams from unknown addresses and those
// longer than maxDatagramBytes are dropped.
func (p *PeerTransport) Listen(ctx context.Context, handle func(from int, data string)) error {
	writeCtx, stopWriting := context.WithCancel(ctx)
	var writer sync.WaitGroup
	defer writer.Wait()
	defer stopWriting()
	writer.Go(func() { p.writeQueued(writeCtx) })
	defer context.AfterFunc(ctx, func() { _ = p.conn.Close() })()
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil { // for example because a peer is down
			p.handleReadError(ctx, err)
			continue
		}
		if sender, ok := p.accept(from, n); ok {
			handle(sender, string(buffer[:n]))
		}
	}
}

// writeQueued sends queued datagrams until ctx ends.
func (p *PeerTransport) writeQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.sendQueue:
			if _, err := p.conn.WriteToUDPAddrPort([]byte(next.data), next.address); err != nil {
				p.log.Debug("peer send failed", "error", err)
			}
		}
	}
}

// handleReadError logs a failed read and pauses.
func (p *PeerTransport) handleReadError(ctx context.Context, err error) {
	p.log.Debug("peer receive failed", "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(readErrorPause):
	}
}

// accept returns the index of the peer that sent a datagram of n bytes. It returns false, and
// counts the datagram as dropped, if the sender is no other peer or the datagram is too long.
func (p *PeerTransport) accept(from netip.AddrPort, n int) (sender int, ok bool) {
	sender, known := p.indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	switch {
	case !known || sender == p.selfIndex:
		p.unknownSender.Add(1)
		return 0, false
	case n > maxDatagramBytes:
		p.oversized.Add(1)
		return 0, false
	}
	return sender, true
}
