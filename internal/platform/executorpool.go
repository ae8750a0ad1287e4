package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/internal/neterr"
	"oakthread/internal/wire"
)

const (
	// idleTimeoutRatio is the fraction of the executors' idle timeout after which the pool closes
	// an idle connection, so that few requests are sent on one that the executor is about to close.
	idleTimeoutRatio = 0.6
	// minIdleTime is how long a connection must have been idle before it may be closed in favour of
	// another one. A connection that was used more recently is likely to be used again.
	minIdleTime = 100 * time.Millisecond
	// reuseDelay is the time between the end of a response and the next request on its connection.
	// It leaves time for unsolicited bytes, such as a second response, to arrive and be detected.
	reuseDelay = 10 * time.Millisecond
)

var _ oakthread.Workers = (*ExecutorPool)(nil)

// ExecutorPool sends attempts, health checks and load orders to executors. It implements
// oakthread.Workers. Each executor has its own transports, so that a connection is never used for
// another executor that has taken over the address; a single limit on sockets applies to all of
// them.
type ExecutorPool struct {
	// Log receives dials at level debug, and at level warn connects that failed for lack of local
	// resources; nil disables both. It must be set before first use.
	Log               *slog.Logger
	classes           *classes.Source
	reportFields      []string
	connectTimeout    time.Duration
	dialContext       DialFunc
	idleTimeout       time.Duration
	reuseDelay        time.Duration
	socketSlots       chan struct{} // one element for each connection that is open or being opened
	responseMemory    atomic.Int64  // bytes by which response buffers may still grow
	localDialFailures atomic.Int64  // connects that failed for lack of local resources
	logLimit          neterr.LogLimit

	mu        sync.Mutex
	executors map[balancer.WorkerID]*executorTransports

	connsMu sync.Mutex // taken after mu and before a connection's own lock
	conns   map[*executorConn]struct{}
}

// NewExecutorPool returns a pool for attempts of the classes of source, which has at most sockets
// connections open at a time.
func NewExecutorPool(settings *wire.Settings, source *classes.Source, sockets int) *ExecutorPool {
	p := &ExecutorPool{
		classes:        source,
		connectTimeout: settings.ConnectTimeout(),
		dialContext:    (&net.Dialer{}).DialContext,
		idleTimeout:    time.Duration(idleTimeoutRatio * float64(settings.ConnIdle())),
		reuseDelay:     reuseDelay,
		socketSlots:    make(chan struct{}, sockets),
		executors:      map[balancer.WorkerID]*executorTransports{},
		conns:          map[*executorConn]struct{}{},
	}
	if settings.Feedback.How != "off" {
		p.reportFields = settings.Feedback.Fields
	}
	p.responseMemory.Store(maxBufferedResponseBytes)
	return p
}

// SetNetwork makes the pool dial through network. It must be called before first use.
func (p *ExecutorPool) SetNetwork(network Network) { p.dialContext = network.dial(p.dialContext) }

// LocalDialFailures returns how many connects failed for lack of local resources. Such connects are
// retried.
func (p *ExecutorPool) LocalDialFailures() int64 { return p.localDialFailures.Load() }

// CloseConnections closes the idle connections to an executor that was removed or has restarted,
// and removes its transports.
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

// dial acquires a socket slot and opens a connection, both within the connect timeout. Connect
// errors are wrapped in dialError.
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

// acquireSlot acquires a socket slot. If none is free, it closes the connection that has been idle
// longest and waits for a slot. It returns errNoSocketSlot if ctx ends first.
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

// track wraps a new connection that holds a socket slot, and adds it to the open connections.
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
// resources, which says nothing about the executor. Once ctx has ended, it returns
// errLocalResources joined with the last error.
func (p *ExecutorPool) dialWithRetry(ctx context.Context, network, addr string) (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		conn, err := p.dialContext(ctx, network, addr)
		if err == nil || !neterr.IsLocal(err) {
			return conn, err
		}
		p.localDialFailures.Add(1)
		if suppressed, ok := p.logLimit.Allow(time.Now()); ok && p.Log != nil {
			p.Log.Warn("connect failed for lack of local resources",
				"addr", addr, "error", err, "suppressed", suppressed)
		}
		p.closeLongestIdle()
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return nil, errors.Join(errLocalResources, err)
		}
	}
}

// closeLongestIdle closes the connection that has been idle longest, provided that this is more
// than minIdleTime and no request has begun on the connection meanwhile.
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
