package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/wire"
)

const (
	watchDialTimeout   = time.Second
	watchReadTimeout   = 2 * time.Second        // a line comes every second; without one the connection is dead
	maxWatchRetryDelay = 400 * time.Millisecond // between two tries: what is told counts as told 2 s after a break
	maxEventBytes      = 4 << 20
	maxDatagramBytes   = 256
	sendQueueLength    = 256                   // datagrams that may wait to be sent
	readErrorPause     = 10 * time.Millisecond // after a failed read
)

// EndpointWatcher follows the command channel. It implements oakthread.Membership.
type EndpointWatcher struct {
	addr           string
	moves          chan string
	setup          *wire.Setup
	initialEvents  []Event
	cursor         int64
	epoch          string
	dialer         *endpoints.Dialer
	persistent     bool   // the list is kept on disk: a numbering may have started over meanwhile
	unreadableLine string // the last line that cannot be read
	skippedLine    bool   // one was passed over: the next number is the next there is
	log            *slog.Logger
	dial           DialFunc
}

// EndpointHandler takes what the channel tells, in order, from one goroutine.
type EndpointHandler interface {
	Told(r oakthread.EndpointUpdate, epoch string, cursor int64)
	Current()     // nothing has changed after the last news
	Lost()        // the connection has ended
	StartedOver() // the numbering begins anew: the next list is whole
}

// updateFunc is the feed of a dispatcher that keeps no list.
type updateFunc func(oakthread.EndpointUpdate)

func (p updateFunc) Told(r oakthread.EndpointUpdate, _ string, _ int64) { p(r) }
func (updateFunc) Current()                                             {}
func (updateFunc) Lost()                                                {}
func (updateFunc) StartedOver()                                         {}

// NewChannel follows the channel of a configuration from the events on that it holds.
func NewChannel(c *Config, log *slog.Logger) *EndpointWatcher {
	return &EndpointWatcher{
		addr: c.Channel, moves: make(chan string, 1), setup: c.Setup, initialEvents: c.Known, cursor: c.Cursor, log: log, dial: (&net.Dialer{Timeout: watchDialTimeout}).DialContext,
		dialer: endpoints.NewDialer([]string{c.Channel}, c.Seed).Within(maxWatchRetryDelay),
	}
}

// Through puts something between the Channel and the system's sockets; it must be called before Follow.
func (c *EndpointWatcher) Through(n Network) { c.dial = n.dial(c.dial) }

// Keep has the channel go on from where a kept list stands, over several addresses in turn, and notice a discovery that
// started over. It must be called before Follow.
func (c *EndpointWatcher) Keep(cursor int64, epoch string, d *endpoints.Dialer) {
	c.cursor, c.epoch, c.dialer, c.persistent, c.initialEvents = cursor, epoch, d, true, nil
}

// Move follows the channel at another address, at once, from the last event known on. It must be called from one
// goroutine and does not block: of two moves in a row the later one counts.
func (c *EndpointWatcher) Move(addr string) {
	select {
	case <-c.moves:
	default:
	}
	c.moves <- addr
}

// Watch tells the events known at the start, then those of the channel, and connects again until ctx ends.
func (c *EndpointWatcher) Watch(ctx context.Context, tell func(oakthread.EndpointUpdate)) error {
	return c.Follow(ctx, updateFunc(tell))
}

// Follow is Watch with all that a Feed wants to know.
func (c *EndpointWatcher) Follow(ctx context.Context, f EndpointHandler) error {
	for _, ev := range c.initialEvents {
		f.Told(ev.Roster, ev.Epoch, ev.Cursor)
	}
	for ctx.Err() == nil {
		var wait time.Duration
		if c.addr, wait = c.dialer.Next(); c.waitOrMove(ctx, wait) {
			continue
		}
		// An old address may stay silent or refuse: a move ends whatever goes on there.
		on, off := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- c.readStream(on, f) }()
		select {
		case addr := <-c.moves:
			off()
			<-ended
			c.setAddress(addr)
			continue
		case err := <-ended:
			off()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			f.Lost()
			c.log.Warn("command channel lost, connecting again", "after", c.cursor, "err", err)
			if errors.Is(err, errDiscoveryRestarted) {
				c.dialer.Good()
			} else {
				c.dialer.Failed()
			}
		}
	}
	return ctx.Err()
}

// waitOrMove waits; true: the channel has moved meanwhile.
func (c *EndpointWatcher) waitOrMove(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case addr := <-c.moves:
		c.setAddress(addr)
		return true
	case <-t.C:
	}
	return false
}

func (c *EndpointWatcher) setAddress(addr string) {
	c.addr = addr
	c.dialer.Move(addr)
	c.log.Info("command channel moved", "to", c.addr, "after", c.cursor)
}

// readStream reads the channel at one address until it fails. Without an address there is nothing to read.
func (c *EndpointWatcher) readStream(ctx context.Context, f EndpointHandler) error {
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
	if err := conn.SetDeadline(time.Now().Add(watchReadTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "resume %d\n", c.cursor); err != nil {
		return err
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	lines.Split(splitCompleteLines)
	for first := true; lines.Scan(); {
		if err := conn.SetDeadline(time.Now().Add(watchReadTimeout)); err != nil {
			return err
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := c.handleLine(lines.Bytes(), first, f); err != nil {
			return err
		}
		first = false
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// splitCompleteLines parts lines. Guards against a line cut off by the end of a connection: its beginning may read as
// another number.
func splitCompleteLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}

var errDiscoveryRestarted = errors.New("discovery started over: its list is read from the first event")

// handleLine reads one line. Events seen before are passed over. Numbers that are skipped say that events are missing, and
// these are asked for again on a new connection; the first event there is the next there is, whatever its number.
// Where a list is kept, a lower number than ours or another epoch says that discovery started over.
func (c *EndpointWatcher) handleLine(line []byte, first bool, f EndpointHandler) error {
	ev, err := parseEvent(line, c.setup)
	if err != nil {
		// It may be the connection's fault. One that comes again is: without it passed over, nothing would be told any more.
		if c.unreadableLine != string(line) {
			c.unreadableLine = string(line)
			return fmt.Errorf("line %.80q: %w", line, err)
		}
		c.skippedLine = true
		c.log.Error("discovery's event cannot be read, passed over", "after", c.cursor, "line", fmt.Sprintf("%.80q", line), "err", err)
		return nil
	}
	for _, odd := range ev.Invalid {
		c.log.Error("discovery tells of an executor that cannot be used", "cursor", ev.Cursor, "err", odd)
	}
	if c.persistent && (ev.Heartbeat && ev.Cursor < c.cursor || ev.Epoch != "" && c.epoch != "" && ev.Epoch != c.epoch) {
		c.cursor, c.epoch = 0, ""
		f.StartedOver()
		return errDiscoveryRestarted
	}
	if ev.Epoch != "" {
		c.epoch = ev.Epoch
	}
	if c.skippedLine && ev.Cursor > c.cursor {
		c.skippedLine, first = false, true
		if ev.Heartbeat {
			c.cursor = ev.Cursor
		}
	}
	if ev.Heartbeat && ev.Cursor > c.cursor || !ev.Heartbeat && !first && ev.Cursor > c.cursor+1 {
		return fmt.Errorf("events after %d are missing, the last is %d", c.cursor, ev.Cursor)
	}
	if first {
		c.dialer.Good()
	}
	if ev.Heartbeat {
		if ev.Cursor == c.cursor {
			f.Current()
		}
		return nil
	}
	if ev.Cursor <= c.cursor {
		return nil
	}
	c.cursor = ev.Cursor
	if ev.HasUpdate {
		f.Told(ev.Roster, c.epoch, c.cursor)
	}
	return nil
}
