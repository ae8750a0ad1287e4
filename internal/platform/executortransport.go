package platform

import (
	"context"
	"net/http"
	"time"

	"oakthread"
)

const (
	maxTransportsPerExecutor = 16
	// maxIdlePerTransport keeps the connections of a burst: a handshake costs both sides more than an
	// open socket.
	maxIdlePerTransport = 64
	// maxQueuedRequests is how many requests to one executor may wait for a connection's reuse delay.
	maxQueuedRequests = 8
	// unusedTransportsTTL is how long the transports of an executor are kept that nothing uses.
	unusedTransportsTTL = time.Minute
	// maxResponseHeaderBytes limits the head of an executor's response.
	maxResponseHeaderBytes = 16 << 10
	// executorBufferBytes is the size of a connection's buffers for reading and for writing.
	executorBufferBytes = 4 << 10
)

// executorTransports are the transports to one executor, in the order in which they are preferred. They
// are guarded by the pool's mu.
type executorTransports struct {
	endpoint   oakthread.Endpoint
	lastUsed   time.Time
	transports []*pooledTransport
	queued     int // requests that wait for the reuse delay of a transport
}

// pooledTransport is a Transport and the time at which a response last ended on it. A Transport hands the
// connection used last to the next request, which would read a delayed second response as its own.
type pooledTransport struct {
	*http.Transport
	lastResponse time.Time
}

// closeIdle closes the idle connections to the executor.
func (e *executorTransports) closeIdle() {
	for _, transport := range e.transports {
		transport.CloseIdleConnections()
	}
}

// isFor reports whether the transports lead to this incarnation of the endpoint.
func (e *executorTransports) isFor(endpoint oakthread.Endpoint) bool {
	return e.endpoint.Addr == endpoint.Addr && e.endpoint.Start.Equal(endpoint.Start)
}

// find returns the first transport whose reuse delay is over, and the one whose last response is the
// oldest; either is nil if there is none.
func (e *executorTransports) find(reuseDelay time.Duration) (ready, oldest *pooledTransport) {
	for _, transport := range e.transports {
		if e.lastUsed.Sub(transport.lastResponse) >= reuseDelay {
			return transport, oldest
		}
		if oldest == nil || transport.lastResponse.Before(oldest.lastResponse) {
			oldest = transport
		}
	}
	return nil, oldest
}

// transportsFor returns the transports to an endpoint, which are created if there are none for this
// incarnation of it. The caller holds mu. Creating some for an executor that has already been removed is
// harmless: transports unused for unusedTransportsTTL are dropped when the next are created.
func (p *ExecutorPool) transportsFor(endpoint oakthread.Endpoint) *executorTransports {
	executor := p.executors[endpoint.ID]
	if executor == nil || !executor.isFor(endpoint) {
		if executor != nil {
			executor.closeIdle()
		}
		executor = &executorTransports{endpoint: endpoint}
		p.executors[endpoint.ID] = executor
		p.dropUnused(executor)
	}
	executor.lastUsed = time.Now()
	return executor
}

// dropUnused drops the transports that nothing has used for unusedTransportsTTL, except those of keep.
// The caller holds mu.
func (p *ExecutorPool) dropUnused(keep *executorTransports) {
	for id, executor := range p.executors {
		if executor != keep && time.Since(executor.lastUsed) > unusedTransportsTTL {
			delete(p.executors, id)
			executor.closeIdle()
		}
	}
}

// acquireTransport returns the first transport to an executor whose reuse delay is over. If there is
// none, a few requests wait for one, since some milliseconds cost less than a handshake, and others get a
// transport of their own.
func (p *ExecutorPool) acquireTransport(
	ctx context.Context, endpoint oakthread.Endpoint,
) (*executorTransports, *pooledTransport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	executor := p.transportsFor(endpoint)
	ready, oldest := executor.find(p.reuseDelay)
	switch {
	case ready != nil:
		return executor, ready
	case oldest != nil && executor.queued < maxQueuedRequests:
		p.awaitReuse(ctx, executor, oldest)
		return executor, oldest
	case len(executor.transports) == maxTransportsPerExecutor:
		return executor, oldest // its connection waits for the rest of the delay
	}
	transport := p.newTransport()
	executor.transports = append(executor.transports, transport)
	return executor, transport
}

// awaitReuse waits until the reuse delay of a transport is over, or ctx ends. The caller holds mu, which
// is released meanwhile.
func (p *ExecutorPool) awaitReuse(ctx context.Context, executor *executorTransports, transport *pooledTransport) {
	executor.queued++
	timer := time.NewTimer(p.reuseDelay - executor.lastUsed.Sub(transport.lastResponse))
	p.mu.Unlock()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	p.mu.Lock()
	executor.queued--
}

// newTransport returns a transport that dials through the pool.
func (p *ExecutorPool) newTransport() *pooledTransport {
	return &pooledTransport{Transport: &http.Transport{
		Proxy:                  nil,
		DisableCompression:     true,
		DialContext:            p.dial,
		MaxIdleConnsPerHost:    maxIdlePerTransport,
		IdleConnTimeout:        p.idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ForceAttemptHTTP2:      false,
		WriteBufferSize:        executorBufferBytes,
		ReadBufferSize:         executorBufferBytes,
	}}
}

// markResponse notes that a response has ended on a transport.
func (p *ExecutorPool) markResponse(transport *pooledTransport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	transport.lastResponse = time.Now()
}

// closeIdle closes the idle connections to one executor.
func (p *ExecutorPool) closeIdle(executor *executorTransports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	executor.closeIdle()
}
