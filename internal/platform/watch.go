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

// Times that the platform specifies for its command channel.
const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = time.Second
	// EndpointUpdateDelay is the time after which the platform regards a change of the endpoint
	// list as known to a dispatcher, whether or not its event arrived.
	EndpointUpdateDelay = 7 * time.Second
)

const (
	watchDialTimeout = time.Second
	// watchReadTimeout closes a connection on which nothing arrives: discovery writes a line every
	// second.
	watchReadTimeout = 2 * time.Second
	// maxWatchRetryDelay limits the delay between two connects: a change is regarded as known 2 s
	// after the connection was lost.
	maxWatchRetryDelay = 400 * time.Millisecond
	maxEventBytes      = 4 << 20
	// initialEventBytes is the initial size of the read buffer, which grows for longer lines.
	initialEventBytes = 4 << 10
)

// errDiscoveryRestarted reports that discovery has restarted its event numbering.
var errDiscoveryRestarted = errors.New("discovery has restarted; reading its events from the first one")

// EndpointHandler handles the events of the command channel. Its methods are called in order, from
// one goroutine.
type EndpointHandler interface {
	// HandleUpdate handles a change of the endpoint list, with the epoch and number of its event.
	HandleUpdate(update oakthread.EndpointUpdate, epoch string, cursor int64)
	// HandleHeartbeat handles a heartbeat: nothing has changed since the last event.
	HandleHeartbeat()
	// HandleWatchLost handles the loss of the connection.
	HandleWatchLost()
	// HandleWatchReset handles a restart of the event numbering: the next update holds the complete
	// list.
	HandleWatchReset()
}

// UpdateHandler is an EndpointHandler that is called with each change of the list and ignores all
// else.
type UpdateHandler func(oakthread.EndpointUpdate)

// HandleUpdate calls f with a change.
func (f UpdateHandler) HandleUpdate(update oakthread.EndpointUpdate, _ string, _ int64) { f(update) }

// HandleHeartbeat does nothing.
func (UpdateHandler) HandleHeartbeat() {}

// HandleWatchLost does nothing.
func (UpdateHandler) HandleWatchLost() {}

// HandleWatchReset does nothing.
func (UpdateHandler) HandleWatchReset() {}

// EndpointWatcher follows the command channel, on which discovery writes the endpoint list and its
// changes. Each event is handled once and in order; after a reconnect the watch resumes after the
// last event handled. It implements oakthread.EndpointWatcher.
type EndpointWatcher struct {
	addr           string
	moves          chan string
	settings       *wire.Settings
	initialEvents  []Event
	cursor         int64 // number of the last event handled
	epoch          string
	dialer         *endpoints.Dialer
	persistent     bool   // the list was restored from disk; discovery may have restarted since it was stored
	unreadableLine string // the last line that could not be parsed
	skippedLine    bool   // such a line was skipped: the next event may have any higher number
	log            *slog.Logger
	dial           DialFunc
}

// NewEndpointWatcher returns a watcher of the command channel named in config, which resumes after
// the initial events there.
func NewEndpointWatcher(config *Config, log *slog.Logger) *EndpointWatcher {
	return &EndpointWatcher{
		addr: config.Channel, moves: make(chan string, 1), settings: config.Settings,
		initialEvents: config.InitialEvents, cursor: config.Cursor, log: log,
		dial:   (&net.Dialer{Timeout: watchDialTimeout}).DialContext,
		dialer: endpoints.NewDialer([]string{config.Channel}, config.Seed).WithMaxBackoff(maxWatchRetryDelay),
	}
}

// SetNetwork makes the watcher dial through network. It must be called before Follow.
func (w *EndpointWatcher) SetNetwork(network Network) { w.dial = network.dial(w.dial) }

// ResumeFrom makes the watch resume after the last event of a stored list, use the addresses of
// dialer, and detect that discovery has restarted. It must be called before Follow.
func (w *EndpointWatcher) ResumeFrom(cursor int64, epoch string, dialer *endpoints.Dialer) {
	w.cursor, w.epoch, w.dialer, w.persistent, w.initialEvents = cursor, epoch, dialer, true, nil
}

// Move switches the watch to another address at once; it resumes after the last event handled. Move
// does not block, and replaces a move that has not taken effect yet. It must be called from one
// goroutine.
func (w *EndpointWatcher) Move(addr string) {
	select {
	case <-w.moves:
	default:
	}
	w.moves <- addr
}

// Watch calls update with the initial events and then with those of the channel, until ctx ends. It
// returns the error of ctx.
func (w *EndpointWatcher) Watch(ctx context.Context, update func(oakthread.EndpointUpdate)) error {
	return w.Follow(ctx, UpdateHandler(update))
}

// Follow passes the initial events and then those of the channel to handler, and reconnects after
// each loss, until ctx ends. It returns the error of ctx.
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

// waitOrMove waits for delay, and reports whether the watch was moved during the wait.
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

// readUntilMove reads one connection until it fails or the watch is moved. A move cancels
// connecting to or reading from the old address, which may not respond.
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

// handleLoss reports the end of a connection to the handler and to the dialer, for which a restart
// of discovery is no failure.
func (w *EndpointWatcher) handleLoss(err error, handler EndpointHandler) {
	handler.HandleWatchLost()
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

// readStream reads the channel at one address until it fails or ctx ends. Without an address it
// only waits for ctx.
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

// readLines handles the lines of a connection until it ends. Each must arrive within
// watchReadTimeout of the previous one.
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

// splitCompleteLines is a bufio.SplitFunc that discards a line truncated by the end of the
// connection, because the first digits of a number could be read as a different number.
func splitCompleteLines(data []byte, _ bool) (advance int, token []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}
