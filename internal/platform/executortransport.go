package platform

import (
	"context"
	"net/http"
	"time"

	"oakthread"
)

const (
	maxTransportsPerExecutor = 16
	// maxIdlePerTransport is high enough to keep the connections opened during a burst: a handshake
	// costs both sides more than an open socket.
	maxIdlePerTransport = 64
	// maxQueuedRequests is how many requests to one executor may wait for a connection's reuse
	// delay.
	maxQueuedRequests = 8
	// unusedTransportsTTL is how long an executor's transports are kept after their last use.
	unusedTransportsTTL = time.Minute
	// maxResponseHeaderBytes limits the size of the head of an executor's response.
	maxResponseHeaderBytes = 16 << 10
	// executorBufferBytes is the size of a connection's buffers for reading and for writing.
	executorBufferBytes = 4 << 10
)

// executorTransports are the transports to one executor, in order of preference. They are guarded
// by ExecutorPool.mu.
type executorTransports struct {
	endpoint   oakthread.Endpoint
	lastUsed   time.Time
	transports []*pooledTransport
	queued     int // requests that wait for a transport's reuse delay
}

// pooledTransport is a Transport and the time at which a response last ended on it. A Transport
// assigns the most recently used connection to the next request, which would read a delayed second
// response as its own.
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

// isFor reports whether the transports belong to this instance of the endpoint, which is identified
// by its address and start time.
func (e *executorTransports) isFor(endpoint oakthread.Endpoint) bool {
	return e.endpoint.Addr == endpoint.Addr && e.endpoint.Start.Equal(endpoint.Start)
}

// find returns the first transport whose reuse delay has elapsed, nil if there is none. In that
// case oldest is the transport whose last response ended first, nil if there are no transports.
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

// transportsFor returns the transports to an endpoint. If there are none for this instance of it,
// they are created. The caller holds mu. Creating them for an executor that has already been
// removed is harmless: transports unused for unusedTransportsTTL are removed when others are
// created.
func (p *ExecutorPool) transportsFor(endpoint oakthread.Endpoint) *executorTransports {
	executor := p.executors[endpoint.ID]
	if executor == nil || !executor.isFor(endpoint) {
		if executor != nil {
			executor.closeIdle()
		}
		executor = &executorTransports{endpoint: endpoint}
		p.executors[endpoint.ID] = executor
		p.removeUnused(executor)
	}
	executor.lastUsed = time.Now()
	return executor
}

// removeUnused removes the transports that have been unused for longer than unusedTransportsTTL,
// except keep. The caller holds mu.
func (p *ExecutorPool) removeUnused(keep *executorTransports) {
	for id, executor := range p.executors {
		if executor != keep && time.Since(executor.lastUsed) > unusedTransportsTTL {
			delete(p.executors, id)
			executor.closeIdle()
		}
	}
}

// acquireTransport returns the first transport to an executor whose reuse delay has elapsed. If
// there is none, up to maxQueuedRequests requests wait for one, because a wait of some milliseconds
// costs less than a handshake. Further requests get a new transport, up to
// maxTransportsPerExecutor.
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
		return executor, oldest // executorConn waits for the rest of the delay
	}
	transport := p.newTransport()
	executor.transports = append(executor.transports, transport)
	return executor, transport
}

// awaitReuse waits until the reuse delay of a transport has elapsed or ctx ends. The caller holds
// mu, which is released during the wait.
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

// markResponse records that a response has just ended on a transport.
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
