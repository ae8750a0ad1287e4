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

// Times that the platform states of its command channel.
const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = time.Second
	// EndpointUpdateDelay is the time after which a change of the endpoint list counts as known to a
	// dispatcher, whether its event arrived or not.
	EndpointUpdateDelay = 7 * time.Second
)

const (
	watchDialTimeout = time.Second
	// watchReadTimeout ends a connection on which nothing arrives: discovery writes a line every second.
	watchReadTimeout = 2 * time.Second
	// maxWatchRetryDelay bounds the pause between two connects: a change counts as known 2 s after the
	// connection was lost.
	maxWatchRetryDelay = 400 * time.Millisecond
	maxEventBytes      = 4 << 20
	// initialEventBytes is the size of the read buffer before a longer line arrives.
	initialEventBytes = 4 << 10
)

// errDiscoveryRestarted reports that discovery numbers its events anew.
var errDiscoveryRestarted = errors.New("discovery started over: its list is read from the first event")

// EndpointHandler handles what the command channel brings, in order, from one goroutine.
type EndpointHandler interface {
	// HandleUpdate handles a change of the endpoint list and the number of its event.
	HandleUpdate(r oakthread.EndpointUpdate, epoch string, cursor int64)
	// HandleHeartbeat handles a heartbeat: nothing has changed since the last event.
	HandleHeartbeat()
	// HandleLoss handles the end of a connection.
	HandleLoss()
	// HandleRestart handles a restart of the numbering: the next update holds the complete list.
	HandleRestart()
}

// UpdateHandler is an EndpointHandler that passes on the changes of the list and nothing else.
type UpdateHandler func(oakthread.EndpointUpdate)

// HandleUpdate passes on a change.
func (f UpdateHandler) HandleUpdate(update oakthread.EndpointUpdate, _ string, _ int64) { f(update) }

// HandleHeartbeat does nothing.
func (UpdateHandler) HandleHeartbeat() {}

// HandleLoss does nothing.
func (UpdateHandler) HandleLoss() {}

// HandleRestart does nothing.
func (UpdateHandler) HandleRestart() {}

// EndpointWatcher follows the command channel, on which discovery writes the endpoint list and its
// changes. Each event is handled once and in order; the watch resumes after the last one on a new
// connection. It implements oakthread.EndpointWatcher.
type EndpointWatcher struct {
	addr           string
	moves          chan string
	settings       *wire.Settings
	initialEvents  []Event
	cursor         int64 // of the last event that was handled
	epoch          string
	dialer         *endpoints.Dialer
	persistent     bool   // the list is stored on disk, so that discovery may have restarted meanwhile
	unreadableLine string // the last line that could not be read
	skippedLine    bool   // such a line was skipped: the next event is accepted whatever its number
	log            *slog.Logger
	dial           DialFunc
}

// NewEndpointWatcher returns a watcher of the channel named in config, which resumes after the events known there.
func NewEndpointWatcher(config *Config, log *slog.Logger) *EndpointWatcher {
	return &EndpointWatcher{
		addr: config.Channel, moves: make(chan string, 1), settings: config.Settings,
		initialEvents: config.InitialEvents, cursor: config.Cursor, log: log,
		dial:   (&net.Dialer{Timeout: watchDialTimeout}).DialContext,
		dialer: endpoints.NewDialer([]string{config.Channel}, config.Seed).WithMaxBackoff(maxWatchRetryDelay),
	}
}

// SetNetwork has the watcher dial through network. It must be called before Follow.
func (w *EndpointWatcher) SetNetwork(network Network) { w.dial = network.dial(w.dial) }

// ResumeFrom has the watch resume after the event of a stored list, try several addresses in turn, and detect a
// discovery that has restarted. It must be called before Follow.
func (w *EndpointWatcher) ResumeFrom(cursor int64, epoch string, dialer *endpoints.Dialer) {
	w.cursor, w.epoch, w.dialer, w.persistent, w.initialEvents = cursor, epoch, dialer, true, nil
}

// Move continues the watch at another address, at once and after the last event known. It does not block;
// of two moves in a row the later one counts. It must be called from one goroutine.
func (w *EndpointWatcher) Move(addr string) {
	select {
	case <-w.moves:
	default:
	}
	w.moves <- addr
}

// Watch calls update with the events known at the start and then with those of the channel, until ctx
// ends.
func (w *EndpointWatcher) Watch(ctx context.Context, update func(oakthread.EndpointUpdate)) error {
	return w.Follow(ctx, UpdateHandler(update))
}

// Follow handles the events known at the start and then those of the channel, and reconnects, until ctx
// ends. It returns the error of ctx.
func (w *EndpointWatcher) Follow(ctx context.Context, handler EndpointHandler) error {
	for _, event := range w.initialEvents {
		handler.HandleUpdate(event.Update, event.Epoch, event.Cursor)
	}
	for ctx.Err() == nil {
		var delay time.Duration
		w.addr, delay = w.dialer.Next()
		if moved := w.waitOrMove(ctx, delay); moved {
			continue
		}
		moved, err := w.readUntilMove(ctx, handler)
		if moved {
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.handleLoss(err, handler)
	}
	return ctx.Err()
}

// waitOrMove waits, and reports whether the watch was moved meanwhile.
func (w *EndpointWatcher) waitOrMove(ctx context.Context, delay time.Duration) (moved bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case addr := <-w.moves:
		w.setAddress(addr)
		return true
	case <-timer.C:
	}
	return false
}

// readUntilMove reads one connection until it fails or the watch is moved. A move cancels whatever goes
// on at the old address, which may be silent or refuse connections.
func (w *EndpointWatcher) readUntilMove(ctx context.Context, handler EndpointHandler) (moved bool, err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- w.readStream(streamCtx, handler) }()
	select {
	case addr := <-w.moves:
		cancel()
		<-ended
		w.setAddress(addr)
		return true, nil
	case err := <-ended:
		return false, err
	}
}

// handleLoss handles the end of a connection.
func (w *EndpointWatcher) handleLoss(err error, handler EndpointHandler) {
	handler.HandleLoss()
	w.log.Warn("endpoint watch lost, reconnecting", "cursor", w.cursor, "error", err)
	if errors.Is(err, errDiscoveryRestarted) {
		w.dialer.Succeeded()
	} else {
		w.dialer.Failed()
	}
}

// setAddress moves the watch to an address.
func (w *EndpointWatcher) setAddress(addr string) {
	w.addr = addr
	w.dialer.Redirect(addr)
	w.log.Info("endpoint watch moved", "addr", w.addr, "cursor", w.cursor)
}

// readStream reads the channel at one address until it fails or ctx ends. Without an address it only
// waits for ctx.
func (w *EndpointWatcher) readStream(ctx context.Context, handler EndpointHandler) error {
	if w.addr == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	conn, err := w.dial(ctx, "tcp", w.addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(watchReadTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "resume %d\n", w.cursor); err != nil {
		return err
	}
	return w.readLines(conn, handler)
}

// readLines handles the lines of a connection until it ends. Each has to arrive within watchReadTimeout
// of the one before.
func (w *EndpointWatcher) readLines(conn net.Conn, handler EndpointHandler) error {
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	lines.Split(splitCompleteLines)
	for first := true; lines.Scan(); {
		if err := conn.SetDeadline(time.Now().Add(watchReadTimeout)); err != nil {
			return err
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := w.handleLine(lines.Bytes(), first, handler); err != nil {
			return err
		}
		first = false
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// splitCompleteLines is a bufio.SplitFunc that drops a line cut off by the end of the connection, whose
// beginning may read as another number.
func splitCompleteLines(data []byte, _ bool) (advance int, token []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}
