package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/neterr"
	"oakthread/internal/wire"
)

var _ oakthread.Workers = (*ExecutorPool)(nil)

// ExecutorPool carries attempts, probes and orders to executors. It implements oakthread.Workers.
type ExecutorPool struct {
	Log            *slog.Logger             // tells of connections at level debug; nil: nothing. Set before use
	classNames     atomic.Pointer[[]string] // by number, escaped for a path; only grows
	reportFields   []string
	connectTimeout time.Duration
	dialContext    DialFunc
	idleTimeout    time.Duration
	reuseDelay     time.Duration
	socketSlots    chan struct{} // one for each open connection
	responseMemory atomic.Int64  // bytes that answers may yet take
	mu             sync.Mutex
	executors      map[balancer.WorkerID]*executorTransports

	dialShortages atomic.Int64 // connects that failed for want of this machine's
	logLimit      neterr.LogLimit

	connsMu sync.Mutex // guards conns; taken after mu, before a connection's own
	conns   map[*executorConn]struct{}
}

// NewFleet makes a Fleet that holds at most sockets connections.
func NewFleet(s *wire.Setup, sockets int) *ExecutorPool {
	f := &ExecutorPool{
		connectTimeout: s.ConnectTimeout(), executors: map[balancer.WorkerID]*executorTransports{}, conns: map[*executorConn]struct{}{},
		socketSlots: make(chan struct{}, sockets), dialContext: (&net.Dialer{}).DialContext,
		idleTimeout: time.Duration(idleTimeoutRatio * float64(s.ConnIdle())), reuseDelay: reuseDelay,
	}
	var names []string
	for _, c := range s.Categories {
		names = append(names, c.Name)
	}
	f.Classes(names)
	if s.Feedback.How != "off" {
		f.reportFields = s.Feedback.Fields
	}
	f.responseMemory.Store(maxBufferedResponseBytes)
	return f
}

// Through puts something between the Fleet and the system's sockets; it must be called before the first use.
func (f *ExecutorPool) Through(n Network) { f.dialContext = n.dial(f.dialContext) }

// Classes names the classes by number from now on, for the executors' paths; it must hold every number in use.
func (f *ExecutorPool) Classes(names []string) {
	escaped := make([]string, len(names))
	for i, n := range names {
		escaped[i] = url.PathEscape(n)
	}
	f.classNames.Store(&escaped)
}

// CloseConnections drops the connections to an executor that has gone or starts anew.
func (f *ExecutorPool) CloseConnections(id balancer.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.executors[id]; l != nil {
		delete(f.executors, id)
		l.closeIdle()
	}
}

// Close closes all idle connections.
func (f *ExecutorPool) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.executors {
		l.closeIdle()
	}
}

// dial opens a counted connection, within the settings' time.
func (f *ExecutorPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, done := context.WithTimeout(ctx, f.connectTimeout)
	defer done()
	select {
	case f.socketSlots <- struct{}{}:
	default:
		f.closeLongestIdle()
		select {
		case f.socketSlots <- struct{}{}:
		case <-ctx.Done():
			return nil, errNoSocketSlot
		}
	}
	c, err := f.connect(ctx, network, addr)
	if f.Log != nil && f.Log.Enabled(ctx, slog.LevelDebug) {
		f.Log.Debug("dialed", "addr", addr, "err", err)
	}
	if err != nil {
		<-f.socketSlots
		return nil, dialError{err}
	}
	k := &executorConn{Conn: c, pool: f, reuseDelay: f.reuseDelay, framer: framer{responses: true}, lastResponse: time.Now()}
	f.connsMu.Lock()
	f.conns[k] = struct{}{}
	f.connsMu.Unlock()
	return k, nil
}

// connect connects, again while only a shortage of this machine's keeps it from that: it tells nothing of the executor.
func (f *ExecutorPool) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		c, err := f.dialContext(ctx, network, addr)
		if err == nil || !neterr.IsShortage(err) {
			return c, err
		}
		f.dialShortages.Add(1)
		if suppressed, ok := f.logLimit.Allow(time.Now()); ok && f.Log != nil {
			f.Log.Warn("connect failed for want of this machine's", "addr", addr, "err", err, "suppressed", suppressed)
		}
		f.closeLongestIdle()
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return nil, errors.Join(errLocalShortage, err)
		}
	}
}

// Shortages counts the connects that failed for want of this machine's and were tried again.
func (f *ExecutorPool) Shortages() int64 { return f.dialShortages.Load() }

// closeLongestIdle closes the connection that has been idle for longest.
func (f *ExecutorPool) closeLongestIdle() {
	var longest *executorConn
	most := minIdleTime
	f.connsMu.Lock()
	for c := range f.conns {
		if idle := c.idleTime(); idle > most {
			longest, most = c, idle
		}
	}
	f.connsMu.Unlock()
	if longest != nil && longest.retire() {
		_ = longest.Close()
	}
}
