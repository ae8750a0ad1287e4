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

const (
	// idleTimeoutRatio is the part of an executor's idle timeout after which the pool closes a
	// connection itself, so that few requests meet one that the executor is about to close.
	idleTimeoutRatio = 0.6
	// minIdleTime is how long a connection must have been idle before it is closed for another. One
	// that was used more recently is likely to be used again.
	minIdleTime = 100 * time.Millisecond
	// reuseDelay is the time between the end of a response and the next request on its connection.
	// Unsolicited bytes, such as a second response, arrive within it.
	reuseDelay = 10 * time.Millisecond
)

var _ oakthread.Workers = (*ExecutorPool)(nil)

// ExecutorPool carries attempts, health checks and load orders to executors. It implements
// oakthread.Workers. Each executor has transports of its own, so that a connection is never used for
// another executor that has taken over its address; one limit on sockets holds over all of them.
type ExecutorPool struct {
	// Log receives connection events at level debug; nil disables them. It must be set before first use.
	Log            *slog.Logger
	classNames     atomic.Pointer[[]string] // by number, escaped for a path; only grows
	reportFields   []string
	connectTimeout time.Duration
	dialContext    DialFunc
	idleTimeout    time.Duration
	reuseDelay     time.Duration
	socketSlots    chan struct{} // holds one element for each open connection
	responseMemory atomic.Int64  // bytes that responses may still take
	dialShortages  atomic.Int64  // connects that failed for lack of local resources
	logLimit       neterr.LogLimit

	mu        sync.Mutex
	executors map[balancer.WorkerID]*executorTransports

	connsMu sync.Mutex // taken after mu and before a connection's own lock
	conns   map[*executorConn]struct{}
}

// NewExecutorPool returns a pool that holds at most sockets connections at a time.
func NewExecutorPool(settings *wire.Settings, sockets int) *ExecutorPool {
	p := &ExecutorPool{
		connectTimeout: settings.ConnectTimeout(),
		dialContext:    (&net.Dialer{}).DialContext,
		idleTimeout:    time.Duration(idleTimeoutRatio * float64(settings.ConnIdle())),
		reuseDelay:     reuseDelay,
		socketSlots:    make(chan struct{}, sockets),
		executors:      map[balancer.WorkerID]*executorTransports{},
		conns:          map[*executorConn]struct{}{},
	}
	var names []string
	for _, class := range settings.Categories {
		names = append(names, class.Name)
	}
	p.SetClasses(names)
	if settings.Feedback.How != "off" {
		p.reportFields = settings.Feedback.Fields
	}
	p.responseMemory.Store(maxBufferedResponseBytes)
	return p
}

// SetNetwork has the pool dial through network. It must be called before first use.
func (p *ExecutorPool) SetNetwork(network Network) { p.dialContext = network.dial(p.dialContext) }

// SetClasses sets the names of classes by number, as they stand in executors' paths. The list must hold
// every number in use.
func (p *ExecutorPool) SetClasses(names []string) {
	escaped := make([]string, len(names))
	for i, name := range names {
		escaped[i] = url.PathEscape(name)
	}
	p.classNames.Store(&escaped)
}

// Shortages returns how many connects failed for lack of local resources and were retried.
func (p *ExecutorPool) Shortages() int64 { return p.dialShortages.Load() }

// CloseConnections closes the idle connections to an executor that was removed or has restarted, and
// forgets its transports.
func (p *ExecutorPool) CloseConnections(id balancer.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if executor := p.executors[id]; executor != nil {
		delete(p.executors, id)
		executor.closeIdle()
	}
}

// Close closes all idle connections.
func (p *ExecutorPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, executor := range p.executors {
		executor.closeIdle()
	}
}

// dial opens a connection within the connect timeout and takes a socket slot for it. Errors of the
// connect are wrapped in dialError.
func (p *ExecutorPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	conn, err := p.dialWithRetry(ctx, network, addr)
	if p.Log != nil && p.Log.Enabled(ctx, slog.LevelDebug) {
		p.Log.Debug("dialed", "addr", addr, "error", err)
	}
	if err != nil {
		<-p.socketSlots
		return nil, dialError{err}
	}
	return p.track(conn), nil
}

// acquireSlot takes a socket slot, for which it closes an idle connection if there is none left. It
// returns errNoSocketSlot when ctx ends first.
func (p *ExecutorPool) acquireSlot(ctx context.Context) error {
	select {
	case p.socketSlots <- struct{}{}:
		return nil
	default:
	}
	p.closeLongestIdle()
	select {
	case p.socketSlots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errNoSocketSlot
	}
}

// track wraps a new connection that holds a socket slot, and lists it as open.
func (p *ExecutorPool) track(conn net.Conn) *executorConn {
	tracked := &executorConn{
		Conn: conn, pool: p, reuseDelay: p.reuseDelay,
		framer: framer{responses: true}, lastResponse: time.Now(),
	}
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	p.conns[tracked] = struct{}{}
	return tracked
}

// untrack removes a closed connection and frees its socket slot.
func (p *ExecutorPool) untrack(conn *executorConn) {
	p.connsMu.Lock()
	delete(p.conns, conn)
	p.connsMu.Unlock()
	<-p.socketSlots
}

// dialWithRetry connects, and retries with backoff while the connect fails for lack of local
// resources, which says nothing about the executor. Once ctx has ended, it returns errLocalShortage
// joined with the last error.
func (p *ExecutorPool) dialWithRetry(ctx context.Context, network, addr string) (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		conn, err := p.dialContext(ctx, network, addr)
		if err == nil || !neterr.IsLocal(err) {
			return conn, err
		}
		p.dialShortages.Add(1)
		if suppressed, ok := p.logLimit.Allow(time.Now()); ok && p.Log != nil {
			p.Log.Warn("connect failed for lack of local resources",
				"addr", addr, "error", err, "suppressed", suppressed)
		}
		p.closeLongestIdle()
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return nil, errors.Join(errLocalShortage, err)
		}
	}
}

// closeLongestIdle closes the connection that has been idle for longest, if that is over minIdleTime.
func (p *ExecutorPool) closeLongestIdle() {
	var longest *executorConn
	longestIdle := minIdleTime
	p.connsMu.Lock()
	for conn := range p.conns {
		if idle := conn.idleTime(); idle > longestIdle {
			longest, longestIdle = conn, idle
		}
	}
	p.connsMu.Unlock()
	if longest != nil && longest.retire() {
		_ = longest.Close()
	}
}
