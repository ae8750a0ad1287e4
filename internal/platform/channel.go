package platform

// This file owns what comes from beside the calls: the command channel, which tells of executors, and the
// datagrams of other dispatchers. It must never tell an event twice or out of order, nor send a datagram of
// more than 256 bytes.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/wire"
)

const (
	channelDial  = time.Second
	channelQuiet = 2 * time.Second        // a line comes every second; without one the connection is dead
	channelMost  = 400 * time.Millisecond // between two tries: what is told counts as told 2 s after a break
	maxLine      = 4 << 20
	maxDatagram  = 256
	datagramWait = 256                   // datagrams that may wait to be sent
	datagramRest = 10 * time.Millisecond // after a failed read
)

// EndpointWatcher follows the command channel. It implements oakthread.Membership.
type EndpointWatcher struct {
	addr   string
	moved  chan string
	setup  *wire.Setup
	known  []Event
	cursor int64
	epoch  string
	dialer *endpoints.Dialer
	kept   bool   // the list is kept on disk: a numbering may have started over meanwhile
	bad    string // the last line that cannot be read
	gap    bool   // one was passed over: the next number is the next there is
	log    *slog.Logger
	dial   DialFunc
}

// Through puts something between the Channel and the system's sockets; it must be called before Follow.
func (c *EndpointWatcher) Through(n Network) { c.dial = n.dial(c.dial) }

// EndpointHandler takes what the channel tells, in order, from one goroutine.
type EndpointHandler interface {
	Told(r oakthread.EndpointUpdate, epoch string, cursor int64)
	Current()     // nothing has changed after the last news
	Lost()        // the connection has ended
	StartedOver() // the numbering begins anew: the next list is whole
}

// plain is the feed of a dispatcher that keeps no list.
type plain func(oakthread.EndpointUpdate)

func (p plain) Told(r oakthread.EndpointUpdate, _ string, _ int64) { p(r) }
func (plain) Current()                                             {}
func (plain) Lost()                                                {}
func (plain) StartedOver()                                         {}

// NewChannel follows the channel of a configuration from the events on that it holds.
func NewChannel(c *Config, log *slog.Logger) *EndpointWatcher {
	return &EndpointWatcher{addr: c.Channel, moved: make(chan string, 1), setup: c.Setup, known: c.Known, cursor: c.Cursor, log: log, dial: (&net.Dialer{Timeout: channelDial}).DialContext,
		dialer: endpoints.NewDialer([]string{c.Channel}, c.Seed).Within(channelMost)}
}

// Keep has the channel go on from where a kept list stands, over several addresses in turn, and notice a discovery that
// started over. It must be called before Follow.
func (c *EndpointWatcher) Keep(cursor int64, epoch string, d *endpoints.Dialer) {
	c.cursor, c.epoch, c.dialer, c.kept, c.known = cursor, epoch, d, true, nil
}

// Move follows the channel at another address, at once, from the last event known on. It must be called from one
// goroutine and does not block: of two moves in a row the later one counts.
func (c *EndpointWatcher) Move(addr string) {
	select {
	case <-c.moved:
	default:
	}
	c.moved <- addr
}

// Watch tells the events known at the start, then those of the channel, and connects again until ctx ends.
func (c *EndpointWatcher) Watch(ctx context.Context, tell func(oakthread.EndpointUpdate)) error {
	return c.Follow(ctx, plain(tell))
}

// Follow is Watch with all that a Feed wants to know.
func (c *EndpointWatcher) Follow(ctx context.Context, f EndpointHandler) error {
	for _, ev := range c.known {
		f.Told(ev.Roster, ev.Epoch, ev.Cursor)
	}
	for ctx.Err() == nil {
		var wait time.Duration
		if c.addr, wait = c.dialer.Next(); c.pause(ctx, wait) {
			continue
		}
		// An old address may stay silent or refuse: a move ends whatever goes on there.
		on, off := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- c.follow(on, f) }()
		select {
		case addr := <-c.moved:
			off()
			<-ended
			c.move(addr)
			continue
		case err := <-ended:
			off()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			f.Lost()
			c.log.Warn("command channel lost, connecting again", "after", c.cursor, "err", err)
			if errors.Is(err, errStartedOver) {
				c.dialer.Good()
			} else {
				c.dialer.Failed()
			}
		}
	}
	return ctx.Err()
}

// pause waits; true: the channel has moved meanwhile.
func (c *EndpointWatcher) pause(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case addr := <-c.moved:
		c.move(addr)
		return true
	case <-t.C:
	}
	return false
}

func (c *EndpointWatcher) move(addr string) {
	c.addr = addr
	c.dialer.Move(addr)
	c.log.Info("command channel moved", "to", c.addr, "after", c.cursor)
}

// follow reads the channel at one address until it fails. Without an address there is nothing to read.
func (c *EndpointWatcher) follow(ctx context.Context, f EndpointHandler) error {
	if c.addr == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	conn, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(channelQuiet)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "resume %d\n", c.cursor); err != nil {
		return err
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	lines.Split(wholeLines)
	for first := true; lines.Scan(); {
		if err := conn.SetDeadline(time.Now().Add(channelQuiet)); err != nil {
			return err
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := c.take(lines.Bytes(), first, f); err != nil {
			return err
		}
		first = false
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// wholeLines parts lines. Guards against a line cut off by the end of a connection: its beginning may read as
// another number.
func wholeLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}

var errStartedOver = errors.New("discovery started over: its list is read from the first event")

// take reads one line. Events seen before are passed over. Numbers that are skipped say that events are missing, and
// these are asked for again on a new connection; the first event there is the next there is, whatever its number.
// Where a list is kept, a lower number than ours or another epoch says that discovery started over.
func (c *EndpointWatcher) take(line []byte, first bool, f EndpointHandler) error {
	ev, err := parseEvent(line, c.setup)
	if err != nil {
		// It may be the connection's fault. One that comes again is: without it passed over, nothing would be told any more.
		if c.bad != string(line) {
			c.bad = string(line)
			return fmt.Errorf("line %.80q: %w", line, err)
		}
		c.gap = true
		c.log.Error("discovery's event cannot be read, passed over", "after", c.cursor, "line", fmt.Sprintf("%.80q", line), "err", err)
		return nil
	}
	for _, odd := range ev.Odd {
		c.log.Error("discovery tells of an executor that cannot be used", "cursor", ev.Cursor, "err", odd)
	}
	if c.kept && (ev.Beat && ev.Cursor < c.cursor || ev.Epoch != "" && c.epoch != "" && ev.Epoch != c.epoch) {
		c.cursor, c.epoch = 0, ""
		f.StartedOver()
		return errStartedOver
	}
	if ev.Epoch != "" {
		c.epoch = ev.Epoch
	}
	if c.gap && ev.Cursor > c.cursor {
		c.gap, first = false, true
		if ev.Beat {
			c.cursor = ev.Cursor
		}
	}
	if ev.Beat && ev.Cursor > c.cursor || !ev.Beat && !first && ev.Cursor > c.cursor+1 {
		return fmt.Errorf("events after %d are missing, the last is %d", c.cursor, ev.Cursor)
	}
	if first {
		c.dialer.Good()
	}
	if ev.Beat {
		if ev.Cursor == c.cursor {
			f.Current()
		}
		return nil
	}
	if ev.Cursor <= c.cursor {
		return nil
	}
	c.cursor = ev.Cursor
	if ev.Told {
		f.Told(ev.Roster, c.epoch, c.cursor)
	}
	return nil
}

// PeerTransport carries messages between dispatchers. It implements oakthread.Peers.
type PeerTransport struct {
	conn  *net.UDPConn
	all   netip.AddrPort
	peers []netip.AddrPort
	from  map[netip.AddrPort]int
	me    int
	out   chan datagram
	log   *slog.Logger

	strangers, long atomic.Int64
}

// Dropped counts datagrams that were read and handed to nobody: from addresses that are no peer's, and too long.
func (p *PeerTransport) Dropped() (strangers, long int64) {
	if p == nil { // the settings allow no messages
		return 0, 0
	}
	return p.strangers.Load(), p.long.Load()
}

type datagram struct {
	to   netip.AddrPort
	data string
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
	p := &PeerTransport{conn: conn, all: c.PeersAll, peers: c.Peers, from: map[netip.AddrPort]int{},
		me: c.Setup.Number, out: make(chan datagram, datagramWait), log: log}
	for i, a := range c.Peers {
		p.from[a] = i
	}
	return p, nil
}

// SendMessage hands a datagram to the socket's goroutine; with too many waiting, it is lost, as any may be.
func (p *PeerTransport) SendMessage(to int, data string) {
	if len(data) > maxDatagram {
		p.log.Error("message to peers is too long, not sent", "bytes", len(data))
		return
	}
	switch {
	case to < 0 && p.all.IsValid():
		p.send(p.all, data)
	case to < 0:
		for i, a := range p.peers {
			if i != p.me {
				p.send(a, data)
			}
		}
	case to < len(p.peers) && to != p.me:
		p.send(p.peers[to], data)
	}
}

func (p *PeerTransport) send(to netip.AddrPort, data string) {
	select {
	case p.out <- datagram{to, data}:
	default:
	}
}

func (p *PeerTransport) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.out:
			if _, err := p.conn.WriteToUDPAddrPort([]byte(d.data), d.to); err != nil {
				p.log.Debug("peer socket", "err", err)
			}
		}
	}
}

// Listen sends what is told and hands on what peers say until ctx ends. A datagram from elsewhere is dropped.
func (p *PeerTransport) Listen(ctx context.Context, heard func(from int, data string)) error {
	go p.write(ctx)
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			p.log.Debug("peer socket", "err", err) // such as a peer that is down
			select {
			case <-ctx.Done():
			case <-time.After(datagramRest): // one that lasts must not spin
			}
			continue
		}
		who, known := p.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !known || who == p.me:
			p.strangers.Add(1)
			continue
		case n > maxDatagram:
			p.long.Add(1)
			continue
		}
		heard(who, string(buf[:n]))
	}
}
